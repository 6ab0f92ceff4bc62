#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Compares rendezvous hashing with jump hash and modulo: assignments that move when an entry joins
/// or leaves, cost, and workspaces without an entry after a failure domain is lost.
bench_report run_entry_sets(std::uint64_t seed);

} // namespace currantpitch::bench
