#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace currantpitch::bench {

/// Actual popularity and rank speeds in one planning period, and the token counts that the group
/// reports for it.
struct trace_period {
    /// Fraction of all tokens that goes to each expert.
    std::vector<double> share;
    /// Relative speed of each rank; 1 is normal.
    std::vector<double> rank_speed;
    /// Reported token count of each expert. Empty if no report arrived.
    std::vector<double> reported_tokens;
    /// Whether popularity or speeds change abruptly at the start of this period.
    bool event = false;
};

using trace = std::vector<trace_period>;

/// Returns the names that make_trace accepts.
const std::vector<std::string>& trace_names();

/// Generates the trace of a name: steady, drift, burst, flip, slow-rank or stale.
trace make_trace(const std::string& name, std::uint32_t ranks, std::uint32_t experts,
                 std::uint64_t seed);

} // namespace currantpitch::bench
