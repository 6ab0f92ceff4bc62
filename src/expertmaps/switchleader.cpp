#include "expertmaps/switchleader.h"

#include "expertmaps/expertmapsconstants.h"

#include <algorithm>

namespace currantpitch::expertmaps {

std::string_view to_string(leader_phase phase)
{
    switch (phase) {
    case leader_phase::querying:
        return "querying";
    case leader_phase::settling:
        return "settling";
    case leader_phase::idle:
        return "idle";
    case leader_phase::staging:
        return "staging";
    case leader_phase::preparing:
        return "preparing";
    case leader_phase::committing:
        return "committing";
    case leader_phase::aborting:
        return "aborting";
    case leader_phase::deposed:
        return "deposed";
    }
    return "unknown";
}

core::map_version first_version(core::fence fence)
{
    return core::map_version{fence.value << version_counter_bits};
}

switch_leader::switch_leader(core::fence fence, std::uint32_t ranks) : fence_(fence), ranks_(ranks)
{
    current_switch_.proposal.fence = fence;
}

std::vector<addressed_order> switch_leader::begin(core::time_point now)
{
    return enter_phase(leader_phase::querying, now);
}

std::vector<addressed_order> switch_leader::enter_phase(leader_phase phase, core::time_point now)
{
    phase_ = phase;
    phase_since_ = now;
    pending_ranks_.clear();
    if (phase == leader_phase::querying) {
        // With a new proposal number, late answers to an earlier query are ignored.
        current_switch_.proposal = {fence_, ++sequence_};
    }
    std::vector<addressed_order> orders;
    for (std::uint32_t rank = 0; rank < ranks_; ++rank) {
        pending_ranks_[rank] = now;
        orders.push_back({rank, order_for(rank)});
    }
    return orders;
}

rank_order switch_leader::order_for(std::uint32_t rank) const
{
    rank_order order;
    order.proposal = current_switch_.proposal;
    order.version = current_switch_.version;
    order.step = current_switch_.step;
    switch (phase_) {
    case leader_phase::querying:
        order.kind = order_kind::query;
        break;
    case leader_phase::staging:
        order.kind = order_kind::stage;
        order.map = proposed_map_;
        break;
    case leader_phase::preparing:
        order.kind = order_kind::prepare;
        break;
    case leader_phase::aborting:
        order.kind = order_kind::abort;
        break;
    default: {
        order.kind = order_kind::commit;
        const auto state = states_.find(rank);
        if (state != states_.end() && state->second.fresh) {
            order.kind = order_kind::adopt;
            order.version = active_;
            if (current_switch_.version > active_) {
                order.committed = current_switch_;
            }
        }
        break;
    }
    }
    return order;
}

void switch_leader::record_answer(const rank_answer& answer)
{
    states_[answer.rank] = answer.state;
    last_step_ = std::max(last_step_, answer.state.step);
    highest_seen_version_ = std::max(highest_seen_version_, answer.state.active);
    if (answer.state.prepared) {
        highest_seen_version_ = std::max(highest_seen_version_, answer.state.prepared->version);
    }
}

core::map_version switch_leader::next_version() const
{
    return std::max({highest_seen_version_, current_switch_.version, first_version(fence_)}).next();
}

std::vector<addressed_order> switch_leader::on_answer(const rank_answer& answer,
                                                      core::time_point now)
{
    if (phase_ == leader_phase::deposed || answer.rank >= ranks_) {
        return {};
    }
    if (answer.state.promised > fence_) {
        phase_ = leader_phase::deposed;
        return {};
    }
    const auto pending = pending_ranks_.find(answer.rank);
    const bool expected = pending != pending_ranks_.end() &&
                          answer.kind == order_for(answer.rank).kind &&
                          answer.proposal == current_switch_.proposal;
    if (!expected) {
        return {};
    }
    record_answer(answer);
    if (!answer.accepted) {
        return on_refusal(answer, now);
    }
    // An adopt order includes a committed switch, so a rank that was fresh needs no commit order.
    pending_ranks_.erase(pending);
    return pending_ranks_.empty() ? on_all_answered(now) : std::vector<addressed_order>();
}

std::vector<addressed_order> switch_leader::on_refusal(const rank_answer& answer,
                                                       core::time_point now)
{
    switch (phase_) {
    case leader_phase::staging:
    case leader_phase::preparing:
        query_after_abort_ = answer.state.fresh;
        return enter_phase(leader_phase::aborting, now);
    case leader_phase::aborting:
        // A rank refuses an abort only if an earlier leader has committed the switch. Query all
        // ranks again.
        return enter_phase(leader_phase::querying, now);
    default:
        // A rank that has lost its state receives the state of the group with the next resent
        // order.
        return {};
    }
}

std::vector<addressed_order> switch_leader::on_all_answered(core::time_point now)
{
    switch (phase_) {
    case leader_phase::querying:
        return resolve_earlier_switch(now);
    case leader_phase::preparing:
        // From here on, the switch cannot be aborted, because a rank may already know the outcome.
        return enter_phase(leader_phase::committing, now);
    case leader_phase::settling:
    case leader_phase::committing:
        active_ = std::max(active_, current_switch_.version);
        phase_ = leader_phase::idle;
        return {};
    case leader_phase::aborting:
        if (query_after_abort_) {
            query_after_abort_ = false;
            return enter_phase(leader_phase::querying, now);
        }
        phase_ = leader_phase::idle;
        return {};
    default:
        return {};
    }
}

// Every rank has promised the fence, so orders of earlier leaders are refused from here on.
std::vector<addressed_order> switch_leader::resolve_earlier_switch(core::time_point now)
{
    std::optional<prepared_switch> committed;
    std::optional<prepared_switch> prepared;
    bool any_fresh = false;
    // A committed switch may not have taken effect yet, so the active version is only known from
    // the ranks.
    active_ = core::map_version{};
    for (const std::pair<const std::uint32_t, rank_state>& entry : states_) {
        const rank_state& s = entry.second;
        any_fresh = any_fresh || s.fresh;
        if (!s.fresh) {
            active_ = std::max(active_, s.active);
        }
        if (s.prepared && s.committed) {
            committed = s.prepared;
        }
        if (s.prepared) {
            prepared = s.prepared;
        }
    }
    const bool all_fresh =
        std::all_of(states_.begin(), states_.end(), [](const auto& s) { return s.second.fresh; });
    if (all_fresh) {
        // The whole group starts from its initial state, with a version above all earlier versions.
        active_ = first_version(fence_);
    }
    // A rank that already uses the version proves that the switch was committed.
    const bool switched = prepared && prepared->version <= active_;
    if (committed || switched) {
        const proposal_number own_proposal{fence_, ++sequence_};
        current_switch_ = committed ? *committed : *prepared;
        current_switch_.proposal = own_proposal;
        return enter_phase(leader_phase::settling, now);
    }
    current_switch_.proposal = {fence_, ++sequence_};
    if (prepared) {
        current_switch_.version = prepared->version;
        current_switch_.step = prepared->step;
        query_after_abort_ = any_fresh;
        return enter_phase(leader_phase::aborting, now);
    }
    current_switch_.version = active_;
    if (any_fresh) {
        return enter_phase(leader_phase::settling, now);
    }
    phase_ = leader_phase::idle;
    return {};
}

std::vector<addressed_order> switch_leader::on_rank_reconnected(std::uint32_t rank,
                                                                core::time_point now)
{
    states_.erase(rank);
    switch (phase_) {
    case leader_phase::idle:
    case leader_phase::querying:
    case leader_phase::staging:
        return enter_phase(leader_phase::querying, now);
    case leader_phase::preparing:
        query_after_abort_ = true;
        return enter_phase(leader_phase::aborting, now);
    case leader_phase::settling:
    case leader_phase::committing:
        // The outcome is decided and is sent to the rank. A refusal shows whether the rank is
        // fresh.
        pending_ranks_[rank] = now;
        return {{rank, order_for(rank)}};
    case leader_phase::aborting:
        query_after_abort_ = true;
        pending_ranks_[rank] = now;
        return {{rank, order_for(rank)}};
    case leader_phase::deposed:
        return {};
    }
    return {};
}

std::vector<addressed_order> switch_leader::resend_unanswered(core::time_point now)
{
    std::vector<addressed_order> orders;
    for (std::pair<const std::uint32_t, core::time_point>& entry : pending_ranks_) {
        if (now - entry.second >= order_resend_interval) {
            entry.second = now;
            orders.push_back({entry.first, order_for(entry.first)});
        }
    }
    return orders;
}

std::vector<addressed_order> switch_leader::tick(core::time_point now)
{
    const bool active = phase_ != leader_phase::idle && phase_ != leader_phase::deposed;
    if (!active) {
        return {};
    }
    if (phase_ == leader_phase::preparing && now - phase_since_ > prepare_timeout) {
        return enter_phase(leader_phase::aborting, now);
    }
    return resend_unanswered(now);
}

std::vector<addressed_order> switch_leader::propose(expert_map map, core::time_point now)
{
    if (phase_ != leader_phase::idle) {
        return {};
    }
    map.version = next_version();
    proposed_map_ = std::move(map);
    current_switch_ = {{fence_, ++sequence_}, proposed_map_.version, {}};
    return enter_phase(leader_phase::staging, now);
}

std::vector<addressed_order> switch_leader::prepare_at(core::step_number step, core::time_point now)
{
    if (!staged()) {
        return {};
    }
    current_switch_.step = step;
    return enter_phase(leader_phase::preparing, now);
}

} // namespace currantpitch::expertmaps
