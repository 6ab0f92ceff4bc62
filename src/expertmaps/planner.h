#pragma once

#include "expertmaps/expertmap.h"
#include "expertmaps/popularity.h"

#include <chrono>
#include <string_view>

namespace currantpitch::expertmaps {

/// What a group's intent says of its balance.
struct planner_options {
    map_shape shape;
    /// Cost of a second of step time lost to skew.
    double skew_weight = 1;
    /// Cost of a second spent moving weights.
    double move_weight = 1;
    /// Size of one replica's weights over all layers, in bytes.
    double replica_bytes = 0;
    /// Bytes that may be moved in an hour; 0 for no bound.
    double budget_bytes_per_hour = 0;
};

enum class plan_reason {
    stale_input, ///< no estimate that is recent enough: everything stays
    balanced,    ///< nothing to gain
    too_dear,    ///< the gain does not pay for the moves
    no_budget,   ///< the moves would exceed the budget
    reweighted,  ///< only weights change
    moved,       ///< replicas move
};
std::string_view to_string(plan_reason reason);

/// A decision of the planner. Times are seconds over the horizon.
struct plan {
    plan_reason reason = plan_reason::stale_input;
    /// The map to switch to; the present one when nothing changes.
    expert_map map;
    std::size_t moved = 0;
    double moved_bytes = 0;
    double skew_before = 1;
    double skew_after = 1;
    /// Weighted gain and cost that were compared.
    double gain = 0;
    double cost = 0;

    bool changes() const
    {
        return reason == plan_reason::reweighted || reason == plan_reason::moved;
    }
};

/// Time for which moving so many bytes into a group's ranks takes.
std::chrono::duration<double> move_time(double bytes);

/// Plans maps for one group: weighs the step time that a better map saves over the horizon against
/// the moves that it takes, and prefers few moves.
class planner {
public:
    explicit planner(planner_options options) : options_(options) {}

    plan make(const expert_map& present, const std::optional<popularity_estimate>& estimate,
              core::time_point now);

    /// Sets new weights and budget from a changed intent of the same shape.
    void set_options(const planner_options& options) { options_ = options; }

private:
    void refill_budget(core::time_point now);
    double net_of(double slowest_before, double slowest, double ideal, std::size_t moves) const;

    planner_options options_;
    double budget_bytes_ = 0;
    std::optional<core::time_point> budget_at_;
    bool first_ = true;
};

} // namespace currantpitch::expertmaps
