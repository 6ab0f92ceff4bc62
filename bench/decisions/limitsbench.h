#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Compares ways in which entries share the limit of one endpoint. Runs in simulated time, with
/// even demand and with the demand at one entry.
bench_report run_limits(std::uint64_t seed);

} // namespace currantpitch::bench
