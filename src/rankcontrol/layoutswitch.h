#pragma once

#include "core/runtimeclock.h"
#include "rankcontrol/rankstate.h"

#include <optional>
#include <string_view>
#include <vector>

namespace currantpitch::rankcontrol {

enum class switch_phase {
    settling,    ///< finds out what an earlier leader left behind
    idle,        ///< no switch is under way
    loading,     ///< the engines copy the experts of the next layout
    holding,     ///< one engine is to keep the group from the step of the switch
    arming,      ///< all engines are to begin the layout at that step
    releasing,   ///< all are armed, and the step may begin
    withdrawing, ///< none may stay armed before the step begins
};
std::string_view to_string(switch_phase p);

struct addressed_order {
    std::uint32_t rank = 0;
    engine_order order;
};

/// Leads a group from one layout to the next so that no pass begins with two layouts. The engines
/// do not compare layouts, and an order that was not answered may be carried out later. Therefore:
/// one engine holds the step of the switch before any is armed for it; the step is released only
/// when all are seen armed, or when none is and each has accepted a newer layout since, which
/// makes every late order of the withdrawn one void. Decides only: the caller moves orders and
/// states, and passes on states under this leader's term only.
class layout_switch {
public:
    /// Versions are unique over leaders: the term counts in their upper part. The holder is the
    /// rank that keeps the group from the step.
    layout_switch(term own, std::size_t ranks, std::uint32_t holder);

    /// State of a rank that obeys this leader.
    void on_state(const rank_state& state, core::time_point now);
    /// What became of the last order to the rank, and its state after it. No result: not known.
    void on_answer(std::uint32_t rank, std::optional<order_result> result, const rank_state& state,
                   core::time_point now);
    /// The rank cannot be reached: its state is not known any more.
    void on_lost(std::uint32_t rank);

    /// How long a pass takes, so that the step of a switch lies as far ahead as arming takes and
    /// the group need not be held up.
    void set_pass_time(core::duration t) { pass_time_ = t; }
    /// Begins a switch; nothing happens unless can_propose.
    void propose(layout next, core::time_point now);
    bool can_propose() const;
    /// Orders to send now, at most one to a rank.
    std::vector<addressed_order> take_orders(core::time_point now);

    switch_phase phase() const { return phase_; }
    /// Why the last switch did not come about; empty when it did.
    std::string_view failure() const { return failure_; }
    /// Version that the group runs or is about to; what is known of the layouts of versions is the
    /// caller's.
    core::map_version running() const { return running_; }
    /// The layout that runs under that version, which a withdrawal repeats to the engines. Nothing
    /// is settled before it is known.
    void set_present(group_epoch epoch, core::map_version version, layout present);
    /// Epoch and version that all ranks report; nothing while they differ.
    std::optional<std::pair<group_epoch, core::map_version>> observed() const;
    std::optional<group_epoch> epoch() const { return epoch_; }
    /// The newest step that any rank told of.
    core::step_number newest_step() const;
    /// How much slower than usual each rank is; 1 where it is not known.
    std::vector<double> slowness() const;
    bool complete() const;

private:
    struct rank_view {
        std::optional<rank_state> state;
        std::optional<engine_order> outstanding;
        core::time_point sent_at;
        bool refused = false;
        /// Accepted the newest load order.
        bool accepted_load = false;
    };

    core::map_version next_version();
    /// Passes between the present one and the step of a switch.
    std::uint64_t lead() const;
    bool same_epoch() const;
    bool any_armed() const;
    bool any_held() const;
    bool all_armed() const;
    /// No rank is armed, and none can be by an order from before the withdrawal.
    bool withdrawn() const;
    std::optional<armed_layout> common_armed() const;
    void enter(switch_phase p, core::time_point now);
    void withdraw(std::string_view reason, core::time_point now);
    void settle(core::time_point now);
    void advance(core::time_point now);
    void advance_loading(core::time_point now);
    void advance_holding(core::time_point now);
    void advance_arming(core::time_point now);
    void advance_withdrawing(core::time_point now);
    std::optional<engine_order> order_for(std::uint32_t rank) const;
    std::optional<engine_order> withdrawal_for(const rank_view& view) const;
    engine_order make(order_kind kind) const;

    term own_;
    std::uint32_t holder_;
    std::uint64_t counted_ = 0;
    std::vector<rank_view> ranks_;
    std::optional<group_epoch> epoch_;
    switch_phase phase_ = switch_phase::settling;
    core::time_point phase_since_;
    core::duration pass_time_{};
    /// When the step of the present switch was chosen, and how long it took from there lately.
    core::time_point lead_began_;
    core::duration expected_arming_{};
    std::string_view failure_;
    core::map_version running_;
    layout present_;
    std::optional<std::pair<group_epoch, core::map_version>> present_for_;
    layout next_;
    core::map_version version_;
    core::step_number step_;
};

} // namespace currantpitch::rankcontrol
