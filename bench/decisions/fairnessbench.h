#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Measures the fraction of its demand that each workspace is served under a flood, and the
/// refusals after the loss of a failure domain. Each entry decides with a share gate of the
/// product; requests and slots are simulated as counts.
bench_report run_fairness(std::uint64_t seed);

} // namespace currantpitch::bench
