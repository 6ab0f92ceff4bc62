#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Platform writes for each action and the time to a durable claim, at several rates on one shard,
/// in paused time.
bench_report run_ledger(std::uint64_t seed);

} // namespace currantpitch::bench
