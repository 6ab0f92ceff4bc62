#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace currantpitch::bench {

/// What is true in one planning period of a trace, and what the group reports of it.
struct trace_period {
    /// Part of all tokens by expert.
    std::vector<double> share;
    std::vector<double> rank_speed;
    /// Counts that were reported; empty when no report arrived.
    std::vector<double> reported_tokens;
    /// Popularity or speeds have changed at once in this period.
    bool event = false;
};

using trace = std::vector<trace_period>;

/// Names of the traces.
const std::vector<std::string>& trace_names();

/// Makes a trace by name: steady, drift, burst, flip, slow-rank or stale.
trace make_trace(const std::string& name, std::uint32_t ranks, std::uint32_t experts,
                 std::uint64_t seed);

} // namespace currantpitch::bench
