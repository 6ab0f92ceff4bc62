#pragma once

#include "core/runtimeclock.h"
#include "rankcontrol/rankstate.h"

#include <optional>
#include <string_view>
#include <vector>

namespace currantpitch::rankcontrol {

enum class switch_phase {
    settling,    ///< determines the state that an earlier leader left behind
    securing,    ///< one engine is ordered to hold the step that an earlier leader held
    fencing,     ///< all engines load the present layout again, which invalidates earlier orders
    idle,        ///< no switch is under way
    loading,     ///< the engines copy the experts of the next layout
    holding,     ///< one engine is ordered to hold the step of the switch
    arming,      ///< all engines are ordered to activate the layout at that step
    releasing,   ///< all engines are armed, and the step is released
    withdrawing, ///< all engines are disarmed before the step is released
};
std::string_view to_string(switch_phase p);

/// An order and the rank that it is for.
struct addressed_order {
    std::uint32_t rank = 0;
    order_id id;
    engine_order order;
};

/// Switches a group from one layout to the next so that no step begins with two layouts. The
/// engines do not compare layouts, and an unanswered order may be executed later. Therefore one
/// engine holds the step of the switch before any engine is armed for it. The step is released only
/// in two cases: when all engines report that they are armed, or when none is armed and each has
/// accepted a newer layout since. The newer layout invalidates every late order of the withdrawn
/// one. A successor cannot know which of the two its predecessor had decided on, and orders of
/// either decision may still be executed. It holds the step itself, on another engine, and
/// withdraws the switch. This class only decides: the caller transports orders and states, and
/// passes on only states that were reported under this leader's term.
///
/// The leader may reach an engine directly while its agent is silent. That agent, or an earlier
/// leader on its host, may still order the engine under an earlier term. Therefore such an engine
/// is never ordered to hold a step, and the leader does not become idle before all engines have
/// accepted a layout of its own term.
class layout_switch {
public:
    /// Versions are unique across leaders because they contain the term. The holder is the rank
    /// that holds the step of a switch. Successive leaders have different holders, so that a late
    /// release order of one leader does not end the hold of the next.
    layout_switch(term own, std::size_t ranks, std::uint32_t holder);

    /// State of a rank that obeys this leader.
    void on_state(const rank_state& state, core::time_point now);
    /// Result of the order with that id, and the state after it; the result is empty when it is
    /// unknown. The result of an order that was given up does not count.
    void on_answer(std::uint32_t rank, const order_id& id, std::optional<order_result> result,
                   const rank_state& state, core::time_point now);
    /// The connection to the rank is lost, so its state is unknown until the next report.
    void on_disconnected(std::uint32_t rank);
    /// Sets whether the leader reads the states of the rank from the engine and sends its orders
    /// there, since the agent is silent. The outstanding order is given up.
    void set_direct(std::uint32_t rank, bool direct);

    /// Sets the time that a step takes. The step of a switch is chosen as far ahead as arming
    /// takes, so that the hold does not delay the group.
    void set_step_time(core::duration t) { step_time_ = t; }
    /// Begins a switch. Has no effect unless can_propose() is true.
    void propose(layout next, core::time_point now);
    bool can_propose() const;
    /// Ends a switch of which no engine has been ordered to hold a step yet.
    void abandon_loading(core::time_point now);
    /// Returns the orders to send now, at most one for each rank.
    std::vector<addressed_order> take_orders(core::time_point now);

    switch_phase phase() const { return phase_; }
    /// Reason why the last switch failed; empty when it did not fail.
    std::string_view failure() const { return failure_; }
    /// Version that the group runs or is about to run. The caller maps versions to layouts.
    core::map_version running_version() const { return running_version_; }
    /// Sets the layout that runs under that version. A withdrawal sends it to the engines again, so
    /// the settling phase does not end before it is known.
    void set_current_layout(group_epoch epoch, core::map_version version, layout current);
    /// Epoch and version that all ranks report; empty while they differ.
    std::optional<std::pair<group_epoch, core::map_version>> observed_layout_id() const;
    std::optional<group_epoch> epoch() const { return epoch_; }
    /// Epoch and version of the layout that a withdrawal would send.
    const std::optional<std::pair<group_epoch, core::map_version>>& current_layout_id() const
    {
        return current_layout_id_;
    }
    /// The newest step that any rank reported.
    core::step_number newest_step() const;
    /// Factor by which each rank is slower than usual; 1 where it is unknown.
    std::vector<double> slowness() const;
    /// Whether the states of all ranks are known and the group runs.
    bool group_running() const;

private:
    struct sent_order {
        order_id id;
        engine_order order;
        core::time_point at;
    };
    struct rank_view {
        std::optional<rank_state> state;
        std::optional<sent_order> outstanding;
        bool refused = false;
        /// Whether the leader reaches the engine directly.
        bool direct = false;
        /// Whether the agent has reported under this leader's term, so that it obeys no earlier
        /// one.
        bool agent_obeys = false;
        /// Whether the rank accepted the newest load order.
        bool accepted_load = false;
    };

    core::map_version next_version();
    /// Steps between the current one and the step of a switch.
    std::uint64_t lead_steps() const;
    /// Step for the next switch. No step is held twice, because a late order to release it would
    /// end the second hold.
    core::step_number choose_step() const;
    /// Begins to hold the first step that an engine holds or is armed for.
    void secure(core::time_point now);
    /// Whether an order of an earlier term may still be sent to an engine and be accepted.
    bool fence_needed() const;
    void fence(core::time_point now);
    /// Whether a step is held that must not be released by a direct order in this phase. A newer
    /// leader may hold it.
    bool held_by_others() const;
    /// Whether this leader's own hold is the one that the rank reports.
    bool own_hold(std::uint32_t rank) const;
    bool any_direct() const;
    bool same_epoch() const;
    bool any_armed() const;
    bool any_held() const;
    bool all_armed() const;
    /// Whether no rank is armed and no order from before the withdrawal can arm one any more.
    bool withdrawn() const;
    void enter(switch_phase p, core::time_point now);
    void withdraw(std::string_view reason, core::time_point now);
    /// Begins to load the present layout on all engines under a new version.
    void begin_reload();
    void settle(core::time_point now);
    void advance(core::time_point now);
    void advance_securing(core::time_point now);
    void advance_fencing(core::time_point now);
    void advance_idle(core::time_point now);
    void advance_loading(core::time_point now);
    void advance_holding(core::time_point now);
    void advance_arming(core::time_point now);
    void advance_withdrawing(core::time_point now);
    std::optional<engine_order> order_for(std::uint32_t rank) const;
    std::optional<engine_order> withdrawal_for(const rank_view& view) const;
    std::optional<engine_order> release_for(std::uint32_t rank) const;
    engine_order make_order(order_kind kind) const;

    term own_term_;
    std::uint32_t holder_;
    std::uint64_t versions_issued_ = 0;
    std::uint64_t orders_issued_ = 0;
    std::vector<rank_view> ranks_;
    std::optional<group_epoch> epoch_;
    switch_phase phase_ = switch_phase::settling;
    core::time_point phase_since_;
    core::duration step_time_{};
    /// Time at which the step of the current switch was chosen, and the expected time from there to
    /// the end of arming, from recent switches.
    core::time_point step_chosen_at_;
    core::duration expected_arming_time_{};
    std::string_view failure_;
    core::map_version running_version_;
    std::shared_ptr<const layout> current_layout_;
    std::optional<std::pair<group_epoch, core::map_version>> current_layout_id_;
    std::shared_ptr<const layout> next_layout_;
    core::map_version version_;
    core::step_number step_;
    /// Whether all engines have accepted a layout of this term in this epoch.
    bool fenced_ = false;
    /// Highest step of this epoch that was ordered to be held or released.
    core::step_number last_held_step_;
};

} // namespace currantpitch::rankcontrol
