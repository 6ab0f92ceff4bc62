#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Measures for how long a group takes no step after the agent of its leader, or of the rank that
/// holds the step of a switch, freezes for 4 s or is killed and back after 2 s, by phase of the
/// switch and number of ranks. Runs layout_switch on simulated time, with and without direct calls
/// to the engines of silent agents.
bench_report run_recovery(std::uint64_t seed);

} // namespace currantpitch::bench
