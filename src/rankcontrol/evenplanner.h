#pragma once

#include "rankcontrol/rankstate.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace currantpitch::rankcontrol {

/// What a switch costs and how long it pays off.
struct planner_costs {
    /// Time to copy one expert to a rank.
    std::chrono::duration<double> copy_time{0.1};
    /// Part of a pass by which copying slows it.
    double copy_slowdown = 0.15;
    /// Part of a pass's work that the experts do when they are balanced.
    double expert_work_share = 0.85;
    /// Time until demand is expected to change again.
    std::chrono::duration<double> horizon{3.0};
    /// Time for orders and for the step to come, without copying.
    std::chrono::duration<double> switch_time{0.15};
    /// Least net gain that is worth a switch. Copies are paid for.
    std::chrono::duration<double> least_net_gain{0.13};
};

/// A layout that is worth switching to.
struct even_plan {
    layout experts;
    /// Mean over the layers of the busiest rank's load over the mean rank's, before and after.
    double skew_before = 1;
    double skew_after = 1;
    /// Experts that the rank with most of them copies.
    std::size_t max_copies = 0;
    /// Expected time that the group's passes save, less the cost of the switch.
    std::chrono::duration<double> net_gain{};
};

/// Load of the busiest rank over that of the mean rank; copies of an expert share its tokens
/// evenly. 1 when there is no load. A rank's load counts as many times as the rank is slower than
/// usual; none is when the list is empty.
double layer_skew(const layer_layout& layer, const std::vector<double>& shares,
                  const std::vector<double>& slowness = {});
/// Mean of the layers' skews.
double layout_skew(const layout& experts, const expert_counts& shares,
                   const std::vector<double>& slowness = {});

/// Improves the layers by moves of single copies, the layer with the busiest rank first, with at
/// most so many new experts on each rank over all layers.
layout improve_layout(const layout& present, const expert_counts& shares,
                      const std::vector<double>& slowness, const layout_shape& shape,
                      std::size_t copies_per_rank);

/// The best of the layouts that bring one, two, four and so on new experts to each rank, given that
/// the rest of the way can follow in a second switch; nothing when none is worth its cost.
std::optional<even_plan> plan_layout(const layout& present, const expert_counts& shares,
                                     const std::vector<double>& slowness, const layout_shape& shape,
                                     const planner_costs& costs);

} // namespace currantpitch::rankcontrol
