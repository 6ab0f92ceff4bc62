#pragma once

#include "rankcontrol/demandtracker.h"
#include "rankcontrol/evenplanner.h"
#include "rankcontrol/layoutswitch.h"
#include "rankcontrol/rankmessages.h"

#include <map>
#include <optional>

namespace currantpitch::rankcontrol {

/// Interval at which the leader looks at the demand and plans.
inline constexpr std::chrono::milliseconds planning_interval{125};
/// Part of the longest on-time pause below which a group's passes are fast enough, so that only
/// larger gains are worth the copies.
inline constexpr double comfortable_pass_share = 0.6;
/// Least net gain of a switch while passes are fast enough: about that of a shift of demand.
inline constexpr std::chrono::milliseconds comfortable_net_gain{600};
/// Tokens that one layer must have seen in an interval for a plan.
inline constexpr double fewest_tokens = 20'000;

/// A group's leadership: follows the demand, plans layouts and leads the switches. Decides only.
class group_leader {
public:
    /// The pass target is the longest pause between two passes that is on time for callers.
    group_leader(term own, std::uint32_t own_rank, const layout_shape& shape, planner_costs costs,
                 core::duration pass_target);

    void on_status(const rank_status& status, core::time_point now);
    void on_answer(std::uint32_t rank, const rank_answer& answer, core::time_point now);
    void on_lost(std::uint32_t rank);
    /// Regular work: the orders to send now.
    std::vector<addressed_order> tick(core::time_point now);

    term own_term() const { return own_; }
    /// Some member obeys a higher term.
    bool deposed() const { return deposed_; }
    const layout_switch& progress() const { return switch_; }
    const layout_shape& shape() const { return shape_; }

private:
    void learn_held(const rank_status& status);
    void learn_layout();
    void plan(core::time_point now);
    void watch_passes(core::duration since);
    /// Least net gain that is worth a switch now.
    std::chrono::duration<double> least_net_gain() const;
    void log_phase(switch_phase before) const;

    struct held_list {
        group_epoch epoch;
        core::map_version version;
        std::vector<std::vector<expert>> experts;
    };

    term own_;
    layout_shape shape_;
    planner_costs costs_;
    layout_switch switch_;
    demand_tracker demand_;
    std::map<std::uint32_t, held_list> held_;
    /// The layout that runs, with its epoch and version; nothing while it is not known.
    std::optional<layout> present_;
    std::pair<group_epoch, core::map_version> present_for_;
    std::optional<layout> proposed_;
    core::time_point last_planned_;
    /// Time of a pass lately, and the step at the last look; zero before two looks.
    core::duration pass_target_;
    core::duration pass_time_{};
    core::step_number last_step_;
    bool deposed_ = false;
};

} // namespace currantpitch::rankcontrol
