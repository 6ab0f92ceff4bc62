#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Cost of one choice and the quality of the choices, against choosing at random and choosing the
/// least reported load, at several numbers of endpoints.
bench_report run_routing(std::uint64_t seed);

} // namespace currantpitch::bench
