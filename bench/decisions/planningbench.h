#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Compares layouts of a group of 63 ranks with 8 layers of 252 experts under changing demand: the
/// planner, the initial layout without changes, a plan that may use all moves each time, and a
/// lower bound of the skew of any layout. Runs ten seeds for each trace.
bench_report run_planning(std::uint64_t seed);

} // namespace currantpitch::bench
