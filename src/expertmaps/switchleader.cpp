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
    return core::map_version{fence.value << versions_per_fence_bits};
}

switch_leader::switch_leader(core::fence fence, std::uint32_t ranks) : fence_(fence), ranks_(ranks)
{
    current_.proposal.fence = fence;
}

std::vector<addressed_order> switch_leader::begin(core::time_point now)
{
    return send_all(leader_phase::querying, now);
}

std::vector<addressed_order> switch_leader::send_all(leader_phase phase, core::time_point now)
{
    phase_ = phase;
    phase_since_ = now;
    waiting_for_.clear();
    if (phase == leader_phase::querying) {
        // A late answer to an earlier query must not count for this one.
        current_.proposal = {fence_, ++sequence_};
    }
    std::vector<addressed_order> orders;
    for (std::uint32_t rank = 0; rank < ranks_; ++rank) {
        waiting_for_[rank] = now;
        orders.push_back({rank, order_for(rank)});
    }
    return orders;
}

rank_order switch_leader::order_for(std::uint32_t rank) const
{
    rank_order order;
    order.proposal = current_.proposal;
    order.version = current_.version;
    order.step = current_.step;
    switch (phase_) {
    case leader_phase::querying:
        order.kind = order_kind::query;
        break;
    case leader_phase::staging:
        order.kind = order_kind::stage;
        order.map = proposed_;
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
            if (current_.version > active_) {
                order.committed = current_;
            }
        }
        break;
    }
    }
    return order;
}

void switch_leader::note(const rank_answer& answer)
{
    states_[answer.rank] = answer.state;
    last_step_ = std::max(last_step_, answer.state.step);
    highest_seen_ = std::max(highest_seen_, answer.state.active);
    if (answer.state.prepared) {
        highest_seen_ = std::max(highest_seen_, answer.state.prepared->version);
    }
}

core::map_version switch_leader::next_version() const
{
    return std::max({highest_seen_, current_.version, first_version(fence_)}).next();
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
    const auto waiting = waiting_for_.find(answer.rank);
    const bool expected = waiting != waiting_for_.end() &&
                          answer.kind == order_for(answer.rank).kind &&
                          answer.proposal == current_.proposal;
    if (!expected) {
        return {};
    }
    note(answer);
    if (!answer.accepted) {
        return on_refusal(answer, now);
    }
    // A rank that was fresh has taken over the state; it must still hear the outcome as well.
    waiting_for_.erase(waiting);
    return waiting_for_.empty() ? after_all_answered(now) : std::vector<addressed_order>();
}

std::vector<addressed_order> switch_leader::on_refusal(const rank_answer& answer,
                                                       core::time_point now)
{
    switch (phase_) {
    case leader_phase::staging:
    case leader_phase::preparing:
        query_again_ = answer.state.fresh;
        return send_all(leader_phase::aborting, now);
    case leader_phase::aborting:
        // An abort is only refused by what an earlier leader committed: ask everybody again.
        return send_all(leader_phase::querying, now);
    default:
        // A rank that lost its state is told the group's by the next repetition.
        return {};
    }
}

std::vector<addressed_order> switch_leader::after_all_answered(core::time_point now)
{
    switch (phase_) {
    case leader_phase::querying:
        return settle(now);
    case leader_phase::preparing:
        // From here on the switch is decided: a rank may have learnt of it.
        return send_all(leader_phase::committing, now);
    case leader_phase::settling:
    case leader_phase::committing:
        active_ = std::max(active_, current_.version);
        phase_ = leader_phase::idle;
        return {};
    case leader_phase::aborting:
        if (query_again_) {
            query_again_ = false;
            return send_all(leader_phase::querying, now);
        }
        phase_ = leader_phase::idle;
        return {};
    default:
        return {};
    }
}

// Every rank has promised the fence, so no order of an earlier leader is obeyed any more.
std::vector<addressed_order> switch_leader::settle(core::time_point now)
{
    std::optional<prepared_switch> committed;
    std::optional<prepared_switch> prepared;
    bool any_fresh = false;
    // A committed switch may lie ahead, so what runs now is only known from the ranks.
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
        // The whole group starts anew, under a version above all that there ever were.
        active_ = first_version(fence_);
    }
    // A rank that has switched already is as good a proof as one that was told to.
    const bool switched = prepared && prepared->version <= active_;
    if (committed || switched) {
        const proposal_number own{fence_, ++sequence_};
        current_ = committed ? *committed : *prepared;
        current_.proposal = own;
        return send_all(leader_phase::settling, now);
    }
    current_.proposal = {fence_, ++sequence_};
    if (prepared) {
        current_.version = prepared->version;
        current_.step = prepared->step;
        query_again_ = any_fresh;
        return send_all(leader_phase::aborting, now);
    }
    current_.version = active_;
    if (any_fresh) {
        return send_all(leader_phase::settling, now);
    }
    phase_ = leader_phase::idle;
    return {};
}

std::vector<addressed_order> switch_leader::on_rank_back(std::uint32_t rank, core::time_point now)
{
    states_.erase(rank);
    switch (phase_) {
    case leader_phase::idle:
    case leader_phase::querying:
    case leader_phase::staging:
        return send_all(leader_phase::querying, now);
    case leader_phase::preparing:
        query_again_ = true;
        return send_all(leader_phase::aborting, now);
    case leader_phase::settling:
    case leader_phase::committing:
        // The outcome is decided; the rank is told it, and its refusal shows whether it is fresh.
        waiting_for_[rank] = now;
        return {{rank, order_for(rank)}};
    case leader_phase::aborting:
        query_again_ = true;
        waiting_for_[rank] = now;
        return {{rank, order_for(rank)}};
    case leader_phase::deposed:
        return {};
    }
    return {};
}

std::vector<addressed_order> switch_leader::repeat(core::time_point now)
{
    std::vector<addressed_order> orders;
    for (std::pair<const std::uint32_t, core::time_point>& entry : waiting_for_) {
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
        return send_all(leader_phase::aborting, now);
    }
    return repeat(now);
}

std::vector<addressed_order> switch_leader::propose(expert_map map, core::time_point now)
{
    if (phase_ != leader_phase::idle) {
        return {};
    }
    map.version = next_version();
    proposed_ = std::move(map);
    current_ = {{fence_, ++sequence_}, proposed_.version, {}};
    return send_all(leader_phase::staging, now);
}

std::vector<addressed_order> switch_leader::prepare_at(core::step_number step, core::time_point now)
{
    if (!staged()) {
        return {};
    }
    current_.step = step;
    return send_all(leader_phase::preparing, now);
}

} // namespace currantpitch::expertmaps
