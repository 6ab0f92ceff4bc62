#pragma once

#include "core/runtimeclock.h"
#include "expertmaps/switchmessages.h"

#include <map>
#include <optional>
#include <vector>

namespace currantpitch::expertmaps {

/// An order for one rank.
struct addressed_order {
    std::uint32_t rank = 0;
    rank_order order;
};

/// Phase of a leader.
enum class leader_phase {
    querying,   ///< asks every rank to promise the fence and to report its state
    settling,   ///< completes a switch of an earlier leader, or restores fresh ranks
    idle,       ///< the state of every rank is known and nothing is prepared
    staging,    ///< the ranks load the next map while the active one is in use
    preparing,  ///< the ranks promise not to begin the step before the outcome is known
    committing, ///< every rank accepted; the commit orders are being sent
    aborting,   ///< a rank refused or did not answer
    deposed,    ///< a rank has promised a higher fence
};
std::string_view to_string(leader_phase phase);

/// Returns the lowest version that a leader with this fence assigns to maps. Fences are never
/// reused, so versions increase even after a whole group has lost its state.
core::map_version first_version(core::fence fence);

/// State machine of the leader of a group. Orders are resent until they are answered. Any order may
/// be lost or arrive more than once.
class switch_leader {
public:
    switch_leader(core::fence fence, std::uint32_t ranks);

    /// Starts leading by querying all ranks.
    std::vector<addressed_order> begin(core::time_point now);
    /// Handles the answer of a rank.
    std::vector<addressed_order> on_answer(const rank_answer& answer, core::time_point now);
    /// Called when a rank was replaced or has reconnected. The state of the rank must be queried
    /// again.
    std::vector<addressed_order> on_rank_reconnected(std::uint32_t rank, core::time_point now);
    /// Resends unanswered orders, and aborts a switch whose prepare phase has timed out.
    std::vector<addressed_order> tick(core::time_point now);

    /// Proposes the next map and sets its version to next_version(). Does nothing unless idle.
    std::vector<addressed_order> propose(expert_map map, core::time_point now);
    /// Prepares the switch at a step when all ranks have staged the map. The owner calls it and
    /// chooses the step, because it knows the step rate.
    std::vector<addressed_order> prepare_at(core::step_number step, core::time_point now);
    bool staged() const { return phase_ == leader_phase::staging && pending_ranks_.empty(); }

    leader_phase phase() const { return phase_; }
    core::fence fence() const { return fence_; }
    core::map_version active() const { return active_; }
    core::map_version next_version() const;
    /// Highest step that any rank has reported.
    core::step_number last_step() const { return last_step_; }

private:
    std::vector<addressed_order> enter_phase(leader_phase phase, core::time_point now);
    std::vector<addressed_order> resend_unanswered(core::time_point now);
    rank_order order_for(std::uint32_t rank) const;
    std::vector<addressed_order> on_refusal(const rank_answer& answer, core::time_point now);
    std::vector<addressed_order> on_all_answered(core::time_point now);
    std::vector<addressed_order> resolve_earlier_switch(core::time_point now);
    void record_answer(const rank_answer& answer);

    core::fence fence_;
    std::uint32_t ranks_;
    leader_phase phase_ = leader_phase::querying;
    std::map<std::uint32_t, rank_state> states_;
    /// Ranks that have not answered in the current phase, with the time of the last order to each.
    std::map<std::uint32_t, core::time_point> pending_ranks_;
    core::time_point phase_since_;
    std::uint64_t sequence_ = 0;
    core::map_version active_;
    core::map_version highest_seen_version_;
    core::step_number last_step_;
    expert_map proposed_map_;
    prepared_switch current_switch_;
    bool query_after_abort_ = false;
};

} // namespace currantpitch::expertmaps
