#pragma once

#include "decisions/benchreport.h"

#include <cstdint>

namespace currantpitch::bench {

/// Time from the acceptance of a change until every process has it in force, in computed time, with
/// one link that loses a third of its messages and one relay whose watch is silent.
bench_report run_dissemination(std::uint64_t seed);

} // namespace currantpitch::bench
