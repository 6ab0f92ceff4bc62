#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Rendezvous choice against jump hash and modulo: places that move when an entry joins or leaves,
/// cost, and workspaces left without an entry when a failure domain is lost.
bench_report run_entry_sets(std::uint64_t seed);

} // namespace currantpitch::bench
