#pragma once

#include "core/runtimeclock.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace currantpitch::load {

/// How one request ended for its caller.
enum class request_outcome {
    whole,       ///< the whole answer, with its count and checksum
    not_run,     ///< refused, and nothing ran
    unknown,     ///< it may have run
    cut_off,     ///< a stream that ended without its final event
    wrong,       ///< an answer that does not fit the request
    unreachable, ///< no entry could be reached; nothing was sent
    last = unreachable,
};

/// Collects outcomes and times.
class load_report {
public:
    void count(request_outcome outcome) { ++outcomes_[static_cast<std::size_t>(outcome)]; }
    void retry() { ++retries_; }
    void first_token(core::duration d) { first_.push_back(d); }
    void between_tokens(core::duration d) { between_.push_back(d); }
    void call_time(core::duration d) { calls_.push_back(d); }

    std::uint64_t of(request_outcome outcome) const
    {
        return outcomes_[static_cast<std::size_t>(outcome)];
    }
    std::uint64_t total() const;
    /// Tables of latencies and outcomes.
    std::string text() const;
    std::string progress() const;

private:
    std::array<std::uint64_t, static_cast<std::size_t>(request_outcome::last) + 1> outcomes_{};
    std::uint64_t retries_ = 0;
    std::vector<core::duration> first_;
    std::vector<core::duration> between_;
    std::vector<core::duration> calls_;
};

} // namespace currantpitch::load
