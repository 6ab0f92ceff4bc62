#pragma once

#include "rankcontrol/demandtracker.h"
#include "rankcontrol/evenplanner.h"
#include "rankcontrol/layoutswitch.h"
#include "rankcontrol/rankmessages.h"

#include <map>
#include <memory>
#include <optional>

namespace currantpitch::rankcontrol {

/// Interval at which the leader evaluates the demand and plans.
inline constexpr std::chrono::milliseconds planning_interval{125};
/// Number of the planner's moves in one tick of the leader. Limits the time for which other work
/// waits.
inline constexpr std::size_t planner_moves_per_tick = 64;
/// Fraction of the target step time below which a group's steps are fast enough, so that only
/// larger gains are worth the copies.
inline constexpr double fast_step_ratio = 0.6;
/// Minimum net gain of a switch while steps are fast enough; about the gain after a shift of
/// demand.
inline constexpr std::chrono::milliseconds min_net_gain_when_fast{600};
/// Minimum number of tokens that one layer must have processed in an interval for a plan.
inline constexpr double min_planning_tokens = 20'000;

/// Decisions of a group's leader: tracks the demand, plans layouts and directs the switches. The
/// caller transports the messages.
class group_leader {
public:
    /// step_time_target is the longest time between two steps that is still on time for callers.
    group_leader(term own, group_key group, const layout_shape& shape, planner_costs costs,
                 core::duration step_time_target);

    void on_status(const rank_status& status, core::time_point now);
    void on_answer(std::uint32_t rank, const rank_answer& answer, core::time_point now);
    void on_disconnected(std::uint32_t rank);
    /// Takes a state that the leader read from the engine itself, and its list of held experts;
    /// the list is empty if it was not read.
    void on_direct_state(const rank_state& state, std::vector<std::vector<expert>> held_experts,
                         core::time_point now);
    /// Takes the result of an order that the leader sent to the engine itself.
    void on_direct_answer(const addressed_order& order, std::optional<order_result> result,
                          const rank_state& state, core::time_point now);
    /// Sets whether the rank is reached directly, as its agent is silent.
    void set_direct(std::uint32_t rank, bool direct);
    /// Whether the layout of that state is unknown and its list of held experts is missing.
    bool lacks_experts(const rank_state& state) const;
    /// Epoch and version of the layout that the group runs and that is unknown; empty if it is
    /// known.
    std::optional<std::pair<group_epoch, core::map_version>> unknown_layout() const;
    /// Takes the layout of the version that the group runs, as it was ordered.
    void set_known_layout(std::pair<group_epoch, core::map_version> id, layout known);
    /// Called periodically. Plans when the interval is over, and returns the orders to send now.
    std::vector<addressed_order> tick(core::time_point now);

    /// Begins no further switch, and ends one whose layout is still being loaded.
    void finish(core::time_point now);

    term own_term() const { return own_term_; }
    /// Whether a member obeys a higher term or has a layout of one. Its engine would refuse the
    /// versions of this term.
    bool deposed() const { return deposed_; }
    const layout_switch& progress() const { return switch_; }
    const layout_shape& shape() const { return shape_; }
    /// Version that all ranks run; empty while they differ.
    std::optional<core::map_version> active_version() const;

private:
    void record_held_experts(const rank_status& status);
    void update_layout();
    bool is_deposed_by(const rank_state& state);
    bool can_plan() const;
    /// Begins a plan when one is due.
    void begin_plan();
    /// Continues the plan under way, and proposes its layout when it is complete.
    void continue_plan(core::time_point now);
    void update_step_time(core::duration elapsed);
    /// Minimum net gain that is currently worth a switch.
    std::chrono::duration<double> min_net_gain() const;
    void log_phase(switch_phase before) const;

    struct held_list {
        group_epoch epoch;
        core::map_version version;
        std::vector<std::vector<expert>> experts;
    };

    term own_term_;
    group_key group_;
    layout_shape shape_;
    planner_costs costs_;
    layout_switch switch_;
    demand_tracker demand_;
    std::map<std::uint32_t, held_list> held_lists_;
    /// The active layout, with its epoch and version; empty until it is known.
    std::optional<layout> current_layout_;
    std::pair<group_epoch, core::map_version> current_layout_id_;
    std::optional<layout> proposed_layout_;
    /// The plan under way, for the active layout at its beginning.
    std::unique_ptr<layout_planner> planner_;
    std::pair<group_epoch, core::map_version> planned_layout_id_;
    core::time_point last_planned_;
    /// Target and recent average of the time of a step, and the step at the last update. The
    /// average is zero before the second update.
    core::duration step_time_target_;
    core::duration step_time_{};
    core::step_number last_step_;
    bool deposed_ = false;
    bool finishing_ = false;
};

} // namespace currantpitch::rankcontrol
