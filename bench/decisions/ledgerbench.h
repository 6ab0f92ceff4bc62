#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Measures store writes per action and the time until a claim is durable, at several action rates
/// on one ledger shard. Runs on the paused clock.
bench_report run_ledger(std::uint64_t seed);

} // namespace currantpitch::bench
