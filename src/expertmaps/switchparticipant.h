#pragma once

#include "expertmaps/switchmessages.h"

namespace currantpitch::expertmaps {

/// State machine of one rank. Decides which orders are accepted and which steps may begin. A rank
/// never begins the step of a prepared switch before it knows the outcome, and refuses orders with
/// a fence below the highest that it has promised.
class switch_participant {
public:
    /// Creates a rank that uses a version; fresh when its earlier state has been lost.
    switch_participant(std::uint32_t rank, core::map_version active, bool fresh) : rank_(rank)
    {
        state_.active = active;
        state_.fresh = fresh;
    }

    /// Executes an order at the rank's current step and returns the answer.
    rank_answer on_order(const rank_order& order, core::step_number current_step);
    /// Records that the weights of the version have been loaded.
    void on_staged(core::map_version version) { state_.staged = version; }

    /// Sets the rank that is reported in answers.
    void set_rank(std::uint32_t rank) { rank_ = rank; }
    std::uint32_t rank() const { return rank_; }
    /// Raises the promised fence without an order, for a fence that was read from the store.
    void promise(core::fence fence);
    /// Restores the state, such as the state that the engine kept while this agent was down.
    void restore(const rank_state& state) { state_ = state; }

    /// Returns true if the rank may begin the step.
    bool may_begin(core::step_number step) const;
    /// Begins a step that may begin, applies a switch that is due, and returns the version in use.
    core::map_version begin(core::step_number step);

    const rank_state& state() const { return state_; }
    /// Returns the version that the step will use according to the current state.
    core::map_version version_at(core::step_number step) const;

private:
    std::string execute_order(const rank_order& order, core::step_number current_step);
    std::string prepare(const rank_order& order, core::step_number current_step);
    std::string commit(const rank_order& order);
    std::string abort(const rank_order& order);
    std::string adopt(const rank_order& order);

    std::uint32_t rank_;
    rank_state state_;
    /// Proposals up to this number have been committed or aborted on this rank.
    proposal_number highest_decided_;
};

} // namespace currantpitch::expertmaps
