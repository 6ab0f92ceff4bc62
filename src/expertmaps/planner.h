#pragma once

#include "expertmaps/expertmap.h"
#include "expertmaps/popularity.h"

#include <chrono>
#include <string_view>

namespace currantpitch::expertmaps {

/// Balancing options from a group's intent.
struct planner_options {
    map_shape shape;
    /// Cost of a second of step time lost to skew.
    double skew_weight = 1;
    /// Cost of a second spent moving weights.
    double move_weight = 1;
    /// Size of one replica's weights over all layers, in bytes.
    double replica_bytes = 0;
    /// Maximum number of bytes to move per hour; 0 for no limit.
    double budget_bytes_per_hour = 0;
};

enum class plan_reason {
    stale_input,       ///< no recent estimate or an invalid map; nothing changes
    balanced,          ///< no improvement found
    cost_exceeds_gain, ///< the gain does not justify the cost of the moves
    no_budget,         ///< the moves would exceed the budget
    reweighted,        ///< only weights change
    moved,             ///< replicas move
};
std::string_view to_string(plan_reason reason);

/// Decision of the planner.
struct plan {
    plan_reason reason = plan_reason::stale_input;
    /// The map to switch to; the current map when nothing changes.
    expert_map map;
    std::size_t moved = 0;
    double moved_bytes = 0;
    double skew_before = 1;
    double skew_after = 1;
    /// Weighted seconds saved over the planning horizon, and weighted seconds spent on the moves.
    double gain = 0;
    double cost = 0;

    bool changes() const
    {
        return reason == plan_reason::reweighted || reason == plan_reason::moved;
    }
};

/// Returns the time that a rank needs to load this number of bytes.
std::chrono::duration<double> move_time(double bytes);

/// Plans maps for one group. Compares the step time that a better map saves over the planning
/// horizon with the cost of the moves that it needs, and prefers few moves.
class planner {
public:
    explicit planner(planner_options options) : options_(options) {}

    plan make(const expert_map& current, const std::optional<popularity_estimate>& estimate,
              core::time_point now);

    /// Applies the weights and the budget of a changed intent. The shape must be the same.
    void set_options(const planner_options& options) { options_ = options; }

private:
    void refill_budget(core::time_point now);
    double net_gain(double slowest_before, double slowest, double ideal, std::size_t moves) const;

    planner_options options_;
    double budget_bytes_ = 0;
    std::optional<core::time_point> budget_refilled_at_;
    bool is_first_plan_ = true;
};

} // namespace currantpitch::expertmaps
