#pragma once

#include "expertmaps/switchmessages.h"

namespace currantpitch::expertmaps {

/// Decides for one rank which orders are accepted and which steps may begin. A rank never begins
/// the step of a prepared switch before it knows the outcome, and obeys no fence below the highest
/// that it has promised.
class switch_participant {
public:
    /// A rank that runs a version; fresh when its earlier state has been lost.
    switch_participant(std::uint32_t rank, core::map_version active, bool fresh) : rank_(rank)
    {
        state_.active = active;
        state_.fresh = fresh;
    }

    /// Carries out an order at the rank's present step and answers it.
    rank_answer on_order(const rank_order& order, core::step_number now_at);
    /// Weights of the version have arrived.
    void on_staged(core::map_version version) { state_.staged = version; }

    /// Rank that the answers name.
    void set_rank(std::uint32_t rank) { rank_ = rank; }
    std::uint32_t rank() const { return rank_; }
    /// Raises the promised fence without an order, after a look at the platform.
    void promise(core::fence fence);
    /// Takes over what the engine kept while this agent was away.
    void restore(const rank_state& state) { state_ = state; }

    /// Whether the rank may begin the step.
    bool may_begin(core::step_number step) const;
    /// Begins a step that it may begin, and switches when its time has come.
    core::map_version begin(core::step_number step);

    const rank_state& state() const { return state_; }
    /// Version that the step will use as far as is known.
    core::map_version version_at(core::step_number step) const;

private:
    std::string carry_out(const rank_order& order, core::step_number now_at);
    std::string prepare(const rank_order& order, core::step_number now_at);
    std::string commit(const rank_order& order);
    std::string abort(const rank_order& order);
    std::string adopt(const rank_order& order);

    std::uint32_t rank_;
    rank_state state_;
    /// Proposals up to this one have been decided here.
    proposal_number decided_;
};

} // namespace currantpitch::expertmaps
