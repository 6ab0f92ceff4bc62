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

/// What the leader is doing.
enum class leader_phase {
    querying,   ///< asks every rank to promise the fence and to tell its state
    settling,   ///< ends a switch of an earlier leader, or brings fresh ranks in
    idle,       ///< every rank is known and nothing is prepared
    staging,    ///< the ranks load the next map while the present one runs
    preparing,  ///< the ranks promise not to begin the step without the outcome
    committing, ///< every rank accepted; the outcome is on its way
    aborting,   ///< a rank refused or did not answer
    deposed,    ///< a rank has promised a higher fence
};
std::string_view to_string(leader_phase phase);

/// Lowest version that a leader with the fence gives to a map. Fences are never used again, so
/// versions rise even when a whole group has lost its state.
core::map_version first_version(core::fence fence);

/// Decides for the leader of a group. Orders are repeated until they are answered; all of them may
/// arrive more than once or never.
class switch_leader {
public:
    switch_leader(core::fence fence, std::uint32_t ranks);

    /// Begins to lead.
    std::vector<addressed_order> begin(core::time_point now);
    /// Takes an answer of a rank.
    std::vector<addressed_order> on_answer(const rank_answer& answer, core::time_point now);
    /// A rank was replaced or reconnected; its state has to be asked for again.
    std::vector<addressed_order> on_rank_back(std::uint32_t rank, core::time_point now);
    /// Repeats what has not been answered, and aborts a prepare that takes too long.
    std::vector<addressed_order> tick(core::time_point now);

    /// Proposes the next map; only when idle. Its version is set to next_version().
    std::vector<addressed_order> propose(expert_map map, core::time_point now);
    /// Once staged, prepares the switch at a step. Called by the owner, which knows the pace.
    std::vector<addressed_order> prepare_at(core::step_number step, core::time_point now);
    bool staged() const { return phase_ == leader_phase::staging && waiting_for_.empty(); }

    leader_phase phase() const { return phase_; }
    core::fence fence() const { return fence_; }
    core::map_version active() const { return active_; }
    core::map_version next_version() const;
    /// Highest step that any rank has told.
    core::step_number last_step() const { return last_step_; }

private:
    std::vector<addressed_order> send_all(leader_phase phase, core::time_point now);
    std::vector<addressed_order> repeat(core::time_point now);
    rank_order order_for(std::uint32_t rank) const;
    std::vector<addressed_order> on_refusal(const rank_answer& answer, core::time_point now);
    std::vector<addressed_order> after_all_answered(core::time_point now);
    std::vector<addressed_order> settle(core::time_point now);
    void note(const rank_answer& answer);

    core::fence fence_;
    std::uint32_t ranks_;
    leader_phase phase_ = leader_phase::querying;
    std::map<std::uint32_t, rank_state> states_;
    /// Ranks that have not answered the present phase.
    std::map<std::uint32_t, core::time_point> waiting_for_;
    core::time_point phase_since_;
    std::uint64_t sequence_ = 0;
    core::map_version active_;
    core::map_version highest_seen_;
    core::step_number last_step_;
    expert_map proposed_;
    prepared_switch current_;
    bool query_again_ = false;
};

} // namespace currantpitch::expertmaps
