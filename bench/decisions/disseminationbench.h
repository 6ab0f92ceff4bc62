#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Measures the time from the acceptance of a change until every process has it in force. Runs in
/// simulated time, with one link that loses a third of its messages and one relay whose watch
/// delivers nothing.
bench_report run_dissemination(std::uint64_t seed);

} // namespace currantpitch::bench
