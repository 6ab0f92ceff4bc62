#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Memory and time of each kind of state against its number, with a straight line through the
/// points and the largest deviation from it.
bench_report run_slopes(std::uint64_t seed);

} // namespace currantpitch::bench
