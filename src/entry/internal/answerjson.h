#pragma once

#include "core/finding.h"
#include "http/httpmessage.h"

#include <chrono>
#include <string>
#include <string_view>

namespace currantpitch::entry {

/// A refusal: the request ran nothing and never will.
http::response not_run_answer(unsigned status, std::string_view reason,
                              std::chrono::milliseconds retry_after = {});
/// The request may have run.
http::response unknown_answer(unsigned status, std::string_view reason);
/// A request that is wrong in itself, with every finding.
http::response invalid_answer(const core::findings& problems);
/// Adds a Retry-After header in whole seconds, at least one, when a time is given.
void set_retry_after(http::response& answer, std::chrono::milliseconds retry_after);

/// One token as a server-sent event.
std::string token_event(std::uint64_t offset, std::string_view text);
/// The final event of a whole answer.
std::string done_event(std::uint64_t count, std::uint64_t checksum);

} // namespace currantpitch::entry
