#pragma once

#include "core/runtimeclock.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace currantpitch::load {

/// Outcome of one request as its caller sees it.
enum class request_outcome {
    whole,       ///< complete answer with matching count and checksum
    not_run,     ///< refused before anything ran
    unknown,     ///< the request may have run
    cut_off,     ///< the stream ended without its final event
    wrong,       ///< the answer does not match the request
    unreachable, ///< no entry could be reached, nothing was sent
    last = unreachable,
};

/// Collects outcomes and latencies of requests.
class load_report {
public:
    void count_outcome(request_outcome outcome) { ++outcomes_[static_cast<std::size_t>(outcome)]; }
    void count_retry() { ++retries_; }
    void add_first_token_time(core::duration d) { first_token_times_.push_back(d); }
    void add_token_interval(core::duration d) { token_intervals_.push_back(d); }
    void add_call_time(core::duration d) { call_times_.push_back(d); }

    std::uint64_t count_of(request_outcome outcome) const
    {
        return outcomes_[static_cast<std::size_t>(outcome)];
    }
    std::uint64_t total() const;
    /// Returns tables of latencies and outcomes.
    std::string text() const;
    /// Returns the counters of one progress line.
    std::string progress() const;

private:
    std::array<std::uint64_t, static_cast<std::size_t>(request_outcome::last) + 1> outcomes_{};
    std::uint64_t retries_ = 0;
    std::vector<core::duration> first_token_times_;
    std::vector<core::duration> token_intervals_;
    std::vector<core::duration> call_times_;
};

} // namespace currantpitch::load
