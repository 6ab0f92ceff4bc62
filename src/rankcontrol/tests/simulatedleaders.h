#pragma once

#include "simulatedagent.h"

#include "rankcontrol/layoutswitch.h"

#include <array>
#include <deque>
#include <memory>
#include <random>

namespace currantpitch::testing {

using namespace rankcontrol;

inline constexpr std::uint32_t rank_count = 3;
inline constexpr std::size_t leader_count = 2;
inline const layout_shape shape{rank_count, 1, 6, 4, 2};

/// Messages that one side of a connection has sent and the other has not read yet, in order.
struct leader_message {
    std::optional<term> claim;
    std::optional<addressed_order> order;
};
struct member_message {
    term promised;
    term read_under;
    rank_state state;
    /// Only in answers.
    std::optional<order_id> answered;
    std::optional<order_result> result;
};

struct connection {
    std::deque<leader_message> to_member;
    std::deque<member_message> to_leader;
};

/// The calls of a leader to an engine whose agent it finds silent. Its answer to one read may be
/// late, compared with those of other engines.
struct direct_calls {
    simulated_agent calls;
    std::optional<rank_state> read;
};

struct leader_process {
    std::unique_ptr<layout_switch> switch_control;
    term own_term;
    std::array<std::optional<direct_calls>, rank_count> direct;
};

/// The leaders and agents of a group, with the messages between them, in the model of layout
/// switches. The first ranks' agents are the candidates.
class simulated_leaders {
public:
    simulated_leaders()
    {
        for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
            agents_.emplace_back(rank, group);
        }
        claim(0);
    }

    fakes::rank_group group{shape};
    core::time_point now{std::chrono::hours(1)};

protected:
    /// Makes the choices within one command, which may be many.
    std::size_t choose(std::size_t bound) { return details_() % bound; }

    connection& connection_of(std::size_t leader, std::size_t rank) { return links_[leader][rank]; }

    void end_leading(std::size_t leader)
    {
        leaders_[leader].switch_control.reset();
        leaders_[leader].direct.fill(std::nullopt);
    }

    void reach_directly(std::size_t leader, std::size_t rank)
    {
        leader_process& l = leaders_[leader];
        if (l.switch_control && !frozen_[leader] && rank != leader && !l.direct[rank]) {
            const std::uint32_t number = static_cast<std::uint32_t>(rank);
            l.direct[rank] =
                direct_calls{simulated_agent(number, group, engine_use::shared), std::nullopt};
            l.switch_control->set_direct(number, true);
        }
    }

    // Returns whether the leader still leads after it has read that state.
    bool leads_after(std::size_t leader, const rank_state& state)
    {
        if (newest_term(state) > leaders_[leader].own_term) {
            end_leading(leader);
            return false;
        }
        update_layout(*leaders_[leader].switch_control);
        return true;
    }

    void read_directly(std::size_t leader, std::size_t rank)
    {
        leader_process& l = leaders_[leader];
        if (!l.switch_control || !l.direct[rank] || frozen_[leader]) {
            return;
        }
        const rank_state latest = group.state(static_cast<std::uint32_t>(rank));
        const std::optional<rank_state> earlier = std::exchange(l.direct[rank]->read, latest);
        const rank_state state = earlier && choose(4) == 0 ? *earlier : latest;
        if (leads_after(leader, state)) {
            l.switch_control->on_state(state, now);
            tick(leader);
        }
    }

    void attempt_directly(std::size_t leader, std::size_t rank)
    {
        leader_process& l = leaders_[leader];
        if (!l.switch_control || !l.direct[rank] || frozen_[leader]) {
            return;
        }
        direct_calls& d = *l.direct[rank];
        // The leader's process sends no order of an earlier term than its own agent obeys.
        d.calls.promised = agents_[leader].promised;
        d.calls.fence_known = agents_[leader].fence_known;
        d.read.reset();
        const auto finished = d.calls.attempt(engine_faults(), late_orders_);
        if (finished && d.calls.state && leads_after(leader, *d.calls.state)) {
            l.switch_control->on_answer(static_cast<std::uint32_t>(rank), finished->id,
                                        finished->result, *d.calls.state, now);
        }
    }

    simulated_agent::choice engine_faults()
    {
        if (faults_disabled_) {
            return {};
        }
        return [this](std::size_t bound) {
            return choose(bound);
        };
    }

    void claim(std::size_t leader)
    {
        end_leading(leader);
        frozen_[leader] = false;
        // A claim is one conditional write, so no two leaders get the same term.
        last_term_ = last_term_.next();
        leaders_[leader].own_term = last_term_;
        leaders_[leader].switch_control =
            std::make_unique<layout_switch>(last_term_, rank_count, last_term_.value % rank_count);
        // A candidate knows the fence that it has claimed.
        agents_[leader].promised = last_term_;
        agents_[leader].fence_known = true;
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            connection_of(leader, rank).to_member.push_back({last_term_, std::nullopt});
        }
    }

    void tick(std::size_t leader)
    {
        leader_process& l = leaders_[leader];
        if (!l.switch_control || frozen_[leader]) {
            return;
        }
        update_layout(*l.switch_control);
        for (addressed_order& o : l.switch_control->take_orders(now)) {
            const std::uint32_t rank = o.rank;
            if (rank == leader) {
                agents_[rank].begin_order(leader, std::move(o));
                continue;
            }
            if (l.direct[rank]) {
                l.direct[rank]->calls.begin_order(leader, std::move(o));
                continue;
            }
            connection_of(leader, rank).to_member.push_back({std::nullopt, std::move(o)});
        }
    }

    // The caller of layout_switch learns the active layout from the expert lists of the ranks.
    void update_layout(layout_switch& switch_control)
    {
        const auto observed = switch_control.observed_layout_id();
        if (!observed || observed->first != group.state(0).epoch ||
            observed->second != group.state(0).active) {
            return;
        }
        layout current(1, layer_layout(rank_count));
        for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
            current[0][rank] = group.held_experts(rank)[0];
        }
        switch_control.set_current_layout(observed->first, observed->second, std::move(current));
    }

    void propose(std::size_t leader)
    {
        leader_process& l = leaders_[leader];
        if (l.switch_control && !frozen_[leader] && l.switch_control->can_propose()) {
            const expert extra = static_cast<expert>(++proposals_ % 3);
            layout next = initial_layout(shape);
            next[0][(extra + 1) % rank_count].push_back(extra);
            l.switch_control->propose(std::move(next), now);
            tick(leader);
        }
    }

    void deliver_down(std::size_t leader, std::size_t rank)
    {
        connection& c = connection_of(leader, rank);
        if (c.to_member.empty() || frozen_[rank]) {
            return;
        }
        leader_message message = std::move(c.to_member.front());
        c.to_member.pop_front();
        simulated_agent& a = agents_[rank];
        if (message.claim && a.fence_known) {
            a.promised = std::max(a.promised, *message.claim);
        }
        if (!message.order) {
            return;
        }
        if (a.obeys(message.order->id)) {
            a.begin_order(leader, std::move(*message.order));
        }
        else {
            answer(leader, rank, message.order->id, std::nullopt);
        }
    }

    void answer(std::size_t leader, std::size_t rank, const order_id& id,
                std::optional<order_result> result)
    {
        const simulated_agent& a = agents_[rank];
        if (a.state) {
            connection_of(leader, rank)
                .to_leader.push_back({a.promised, a.read_under, *a.state, id, result});
        }
    }

    void attempt(std::size_t rank)
    {
        if (frozen_[rank]) {
            return;
        }
        const std::optional<simulated_agent::finished_order> finished =
            agents_[rank].attempt(engine_faults(), late_orders_);
        if (finished) {
            answer(finished->leader, rank, finished->id, finished->result);
        }
    }

    void deliver_up(std::size_t leader, std::size_t rank)
    {
        connection& c = connection_of(leader, rank);
        if (c.to_leader.empty() || frozen_[leader]) {
            return;
        }
        const member_message message = c.to_leader.front();
        c.to_leader.pop_front();
        leader_process& l = leaders_[leader];
        if (!l.switch_control) {
            return;
        }
        if (message.promised > l.own_term) {
            end_leading(leader);
            return;
        }
        // The agent of an engine that is reached directly counts as back at a later message.
        if (message.read_under != l.own_term || (l.direct[rank] && choose(2) == 0)) {
            return;
        }
        if (l.direct[rank]) {
            l.direct[rank].reset();
            l.switch_control->set_direct(static_cast<std::uint32_t>(rank), false);
        }
        update_layout(*l.switch_control);
        if (message.answered) {
            l.switch_control->on_answer(static_cast<std::uint32_t>(rank), *message.answered,
                                        message.result, message.state, now);
        }
        else {
            l.switch_control->on_state(message.state, now);
        }
        tick(leader);
    }

    void send_status(std::size_t leader, std::size_t rank)
    {
        const simulated_agent& a = agents_[rank];
        if (a.state && !frozen_[rank]) {
            connection_of(leader, rank)
                .to_leader.push_back(
                    {a.promised, a.read_under, *a.state, std::nullopt, std::nullopt});
        }
    }

    // One full exchange of messages and a tick of the leader.
    void exchange(std::size_t leader)
    {
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            deliver_down(leader, rank);
            finish_orders(rank);
            deliver_up(leader, rank);
            use_direct_calls(leader, rank);
        }
        tick(leader);
    }

    void use_direct_calls(std::size_t leader, std::size_t rank)
    {
        for (int i = 0; i < 4; ++i) {
            attempt_directly(leader, rank);
        }
        read_directly(leader, rank);
    }

    void finish_orders(std::size_t rank)
    {
        while (!agents_[rank].idle() && !frozen_[rank]) {
            attempt(rank);
        }
    }

    void execute_late_order()
    {
        if (late_orders_.empty()) {
            return;
        }
        const std::size_t index = choose(late_orders_.size());
        const std::pair<std::uint32_t, engine_order> order = late_orders_[index];
        late_orders_.erase(late_orders_.begin() + static_cast<long>(index));
        group.order(order.first, order.second);
    }

    void disconnect(std::size_t leader, std::size_t rank)
    {
        connection_of(leader, rank) = connection{};
        leader_process& l = leaders_[leader];
        if (l.switch_control) {
            if (!l.direct[rank]) {
                l.switch_control->on_disconnected(static_cast<std::uint32_t>(rank));
            }
            connection_of(leader, rank).to_member.push_back({l.own_term, std::nullopt});
        }
    }

    std::minstd_rand details_;
    std::vector<simulated_agent> agents_;
    std::array<leader_process, leader_count> leaders_;
    std::array<std::array<connection, rank_count>, leader_count> links_;
    late_orders late_orders_;
    /// Agents that stand still, with the leader in the same process.
    std::array<bool, rank_count> frozen_{};
    term last_term_;
    std::uint64_t proposals_ = 0;
    bool faults_disabled_ = false;
};

} // namespace currantpitch::testing
