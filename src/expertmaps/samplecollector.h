#pragma once

#include "core/runtimeclock.h"
#include "expertmaps/expertmap.h"
#include "expertmaps/popularity.h"
#include "expertmaps/switchmessages.h"

#include <map>
#include <optional>
#include <vector>

namespace currantpitch::expertmaps {

/// Converts token counts that an engine reported to integers. Negative and too large counts become
/// 0.
std::vector<std::uint64_t> to_token_counts(const std::vector<double>& reported);

/// Builds samples for the popularity tracker from the reports of a group's ranks. The counts in the
/// reports are cumulative since the start of each engine.
class sample_collector {
public:
    explicit sample_collector(const map_shape& shape) : shape_(shape) {}

    /// Stores the newest report of a rank. Reports of ranks outside the shape are ignored.
    void on_report(const rank_report& report);
    /// Returns the load since the last sample, or nothing until every rank has sent a new report
    /// with the counts of all experts.
    std::optional<group_sample> collect(const expert_map& current, core::time_point now);

private:
    map_shape shape_;
    std::map<std::uint32_t, rank_report> reports_;
    std::map<std::uint32_t, std::vector<std::uint64_t>> previous_counts_;
};

} // namespace currantpitch::expertmaps
