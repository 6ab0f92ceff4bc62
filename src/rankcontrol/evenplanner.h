#pragma once

#include "rankcontrol/layoutsearch.h"
#include "rankcontrol/rankstate.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace currantpitch::rankcontrol {

/// Parameters of the costs and the gain of a switch.
struct planner_costs {
    /// Time to copy one expert to a rank.
    std::chrono::duration<double> copy_time{0.1};
    /// Fraction of the time of a step by which copying slows it down.
    double copy_slowdown = 0.15;
    /// Fraction of the work of a step that the experts do when they are balanced.
    double expert_work_share = 0.85;
    /// Time until demand is expected to change again.
    std::chrono::duration<double> horizon{3.0};
    /// Time for the orders and until the step of the switch, without copying.
    std::chrono::duration<double> switch_time{0.15};
    /// Minimum net gain that is worth a switch. The cost of the copies is already subtracted from
    /// it.
    std::chrono::duration<double> min_net_gain{0.13};
};

/// A planned layout and its effect.
struct layout_plan {
    layout experts;
    /// Skew of the layout before and after the switch, as layout_skew returns it.
    double skew_before = 1;
    double skew_after = 1;
    /// Largest number of experts that one rank has to copy, over all layers.
    std::size_t max_copies = 0;
    /// Expected time that the group's steps save, minus the cost of the switch.
    std::chrono::duration<double> net_gain{};
};

/// Ratio of the largest load of a rank to the mean load; 1 when there is no load. The copies of an
/// expert share its tokens evenly. For the largest load, the load of each rank is multiplied by its
/// slowness. An empty slowness list stands for 1 on every rank.
double layer_skew(const layer_layout& layer, const std::vector<double>& shares,
                  const std::vector<double>& slowness = {});
/// Mean of the skews of all layers.
double layout_skew(const layout& experts, const expert_counts& shares,
                   const std::vector<double>& slowness = {});

/// Improves the layers by moves of single copies, starting with the layer that has the busiest
/// rank. Adds at most copies_per_rank new experts to each rank over all layers.
layout improve_layout(const layout& current, const expert_counts& shares,
                      const std::vector<double>& slowness, const layout_shape& shape,
                      std::size_t copies_per_rank);

/// Plans the next layout in bounded steps, so that the thread of a leader can do other work in
/// between: with a hundred ranks, one plan takes longer than the interval of the heartbeats.
class layout_planner {
public:
    layout_planner(layout current, expert_counts shares, std::vector<double> slowness,
                   const layout_shape& shape, const planner_costs& costs);

    /// Makes at most max_moves moves. Returns whether the plan is complete.
    bool advance(std::size_t max_moves);
    /// The best of the layouts that add at most one, two, four and so on new experts to each rank,
    /// given that the remaining copies can follow in a second switch. Empty when none is worth its
    /// cost.
    std::optional<layout_plan> best() const;
    double skew_before() const { return skew_before_; }

private:
    /// Adds the search's result for the allowed number of copies.
    void add_plan();

    layout current_;
    expert_counts shares_;
    std::vector<double> slowness_;
    layout_shape shape_;
    planner_costs costs_;
    double skew_before_;
    layout_search search_;
    std::size_t allowed_copies_ = 1;
    std::vector<layout_plan> plans_;
    bool finished_ = false;
};

/// Makes a complete plan at once, as layout_planner does in steps.
std::optional<layout_plan> plan_layout(const layout& current, const expert_counts& shares,
                                       const std::vector<double>& slowness,
                                       const layout_shape& shape, const planner_costs& costs);

} // namespace currantpitch::rankcontrol
