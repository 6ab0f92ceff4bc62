#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Measures memory and time of each kind of state for several numbers of items. Reports a linear
/// fit and the largest deviation from it.
bench_report run_slopes(std::uint64_t seed);

} // namespace currantpitch::bench
