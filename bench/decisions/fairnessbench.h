#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// What each workspace keeps of its demand under a flood, and what is refused when a failure
/// domain is lost. The product's share gates decide, one for each entry; the requests and the
/// slots are plain counts.
bench_report run_fairness(std::uint64_t seed);

} // namespace currantpitch::bench
