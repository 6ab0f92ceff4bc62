#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Measures the cost and the load balance of the endpoint choice at several numbers of endpoints.
/// Compares the product's pool with a random choice and with the least reported load.
bench_report run_routing(std::uint64_t seed);

} // namespace currantpitch::bench
