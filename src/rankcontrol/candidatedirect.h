#pragma once

#include "rankcontrol/candidateside.h"

namespace currantpitch::rankcontrol {

// The calls of a leading candidate to engines whose agents are silent.

template <class Store, rank_port Port>
void candidate_side<Store, Port>::reach_silent_ranks(core::time_point now)
{
    if (!switch_under_way() || !context_.obeys({context_.group, {leader_->own_term(), 0}})) {
        return;
    }
    for (const settings::address& engine : member_.members().engines()) {
        if (engine.address() == context_.settings.peer_address.address()) {
            continue;
        }
        core::time_point heard = leading_since_;
        for (const std::shared_ptr<session>& s : sessions_) {
            heard = s->address == engine.address() ? std::max(heard, s->status_at) : heard;
        }
        if (now - heard > agent_silence_limit) {
            direct_.begin(engine, to_string(leader_->progress().phase()), now - heard);
        }
    }
}

template <class Store, rank_port Port>
bool candidate_side<Store, Port>::is_in_use(session& s, const rank_status& status,
                                            core::time_point now)
{
    if (now - s.status_at > agent_silence_limit) {
        s.returned_at = now;
    }
    s.status_at = now;
    if (!leader_ || !direct_.reaches(s.address)) {
        return leader_ != nullptr;
    }
    const bool obeys_other = status.promised > leader_->own_term();
    if (status.read_under == leader_->own_term() && now - s.returned_at >= agent_return_time) {
        const std::optional<std::uint32_t> rank = direct_.end(s.address, "agent_back");
        if (rank) {
            leader_->set_direct(*rank, false);
        }
        return true;
    }
    return obeys_other;
}

template <class Store, rank_port Port>
bool candidate_side<Store, Port>::lacks_experts(const rank_state& state) const
{
    return leader_ && leader_->lacks_experts(state) &&
           (state.active.value == 0 ||
            context_.layouts.find(state.active, leader_->shape()) == nullptr);
}

template <class Store, rank_port Port>
bool candidate_side<Store, Port>::on_direct_state(const rank_state& state,
                                                  std::vector<std::vector<expert>> held)
{
    const core::time_point now = core::runtime_clock::now();
    const bool has_agent =
        std::any_of(sessions_.begin(), sessions_.end(), [&](const std::shared_ptr<session>& s) {
            return s->rank == state.rank && !direct_.reaches(s->address) &&
                   now - s->status_at <= agent_silence_limit;
        });
    const bool own = engine_.state() && engine_.state()->rank == state.rank;
    if (!leader_ || state.group != context_.group || state.group_size != leader_->shape().ranks ||
        state.rank >= state.group_size || has_agent || own) {
        if (leader_ && has_agent && state.group == context_.group) {
            leader_->set_direct(state.rank, false);
        }
        return false;
    }
    highest_term_ = std::max(highest_term_, newest_term(state));
    leader_->set_direct(state.rank, true);
    leader_->on_direct_state(state, std::move(held), now);
    tick();
    return true;
}

template <class Store, rank_port Port>
void candidate_side<Store, Port>::on_direct_answer(const addressed_order& order,
                                                   const executed_order& executed)
{
    if (leader_ && leader_->own_term() == order.id.term && executed.state) {
        leader_->on_direct_answer(order, executed.result, *executed.state,
                                  core::runtime_clock::now());
        tick();
    }
}

} // namespace currantpitch::rankcontrol
