#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Layouts of a group of 63 ranks with 8 layers of 252 experts under demand that changes: the
/// planner against the first layout for ever, a plan from all moves in every period, and the least
/// skew that any layout could have. Ten seeds for each trace.
bench_report run_planning(std::uint64_t seed);

} // namespace currantpitch::bench
