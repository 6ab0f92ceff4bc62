#pragma once

#include "core/runtimeclock.h"
#include "expertmaps/expertmap.h"
#include "expertmaps/popularity.h"
#include "expertmaps/switchmessages.h"

#include <map>
#include <optional>
#include <vector>

namespace currantpitch::expertmaps {

/// Whole counts from what an engine reported; impossible ones count as 0.
std::vector<std::uint64_t> whole_counts(const std::vector<double>& reported);

/// Makes samples for the popularity tracker from the reports of a group's ranks, whose counts run
/// from the start of each engine on.
class sample_collector {
public:
    explicit sample_collector(const map_shape& shape) : shape_(shape) {}

    /// Keeps the newest report of a rank; ranks beyond the shape are ignored.
    void take(const rank_report& report);
    /// The sample since the last one; nothing until every rank has reported a full list.
    std::optional<group_sample> collect(const expert_map& present, core::time_point now);

private:
    map_shape shape_;
    std::map<std::uint32_t, rank_report> reports_;
    std::map<std::uint32_t, std::vector<std::uint64_t>> counted_;
};

} // namespace currantpitch::expertmaps
