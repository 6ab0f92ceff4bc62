#pragma once

#include "core/finding.h"
#include "http/httpmessage.h"

#include <chrono>
#include <string>
#include <string_view>

namespace currantpitch::entry {

/// Refusal of a request that ran nothing and never will.
http::response not_run_answer(unsigned status, std::string_view reason,
                              std::chrono::milliseconds retry_after = {});
/// Answer to a request that may have run.
http::response unknown_answer(unsigned status, std::string_view reason);
/// Refusal of an invalid request, listing all findings.
http::response invalid_answer(const core::findings& problems);
/// Adds a Retry-After header, rounded up to whole seconds, and an X-Retry-After-Ms header. Does
/// nothing when the delay is not positive.
void set_retry_after(http::response& answer, std::chrono::milliseconds retry_after);

/// One token as a server-sent event.
std::string token_event(std::uint64_t offset, std::string_view text);
/// The final server-sent event of a complete answer.
std::string done_event(std::uint64_t count, std::uint64_t checksum);

} // namespace currantpitch::entry
