#pragma once

#include "decisions/benchreport.h"

#include <cstdint>
#include <string>

namespace currantpitch::bench {

struct balance_options {
    std::string trace = "drift";
    std::uint32_t ranks = 32;
    std::uint32_t experts = 128;
    std::uint32_t slots = 0;
    std::string weights = "mali-koderi";
    std::uint64_t seeds = 10;
    double replica_bytes = 3e8;
    std::string plot;
};

/// Runs all policies over a popularity trace with several seeds. Reports percentiles, maxima and
/// means over all seeds.
bench_report run_balance(const balance_options& options, std::uint64_t seed);

} // namespace currantpitch::bench
