#include "fakes/rankgroup.h"
#include "rankcontrol/layoutswitch.h"
#include "rankcontrol/rankcontrolconstants.h"
#include "rankcontrol/rankmessages.h"

#include "support/modelrun.h"
#include "support/rapidcheck.h"

#include <deque>
#include <memory>

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::rankcontrol;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t rank_count = 3;
constexpr std::size_t leader_count = 2;
const layout_shape shape{rank_count, 1, 6, 4, 2};

/// Messages that one side of a connection has sent and the other has not read yet, in order.
struct leader_message {
    std::optional<term> claim;
    std::optional<addressed_order> order;
};
struct member_message {
    term promised;
    rank_state state;
    /// Only in answers.
    std::optional<order_id> answered;
    std::optional<order_result> result;
};

struct connection {
    std::deque<leader_message> to_member;
    std::deque<member_message> to_leader;
};

struct agent {
    term promised;
    bool fence_known = true;
};

struct leader_process {
    std::unique_ptr<layout_switch> switch_control;
    term own_term;
};

// Simulates the engines, agents that obey the highest term, two candidates that may both act as the
// leader, and their faults: lost connections, orders that the engine does not answer and executes
// later or never, failures of leaders and agents, and crashes of ranks. The oracle checks only the
// steps of the group.
class switch_simulation {
public:
    explicit switch_simulation(testing::script& s) : script_(s) { claim(0); }

    void step()
    {
        script_.next_command();
        const std::size_t rank = script_.choose(rank_count);
        const std::size_t leader = script_.choose(leader_count);
        switch (script_.choose(32)) {
        case 0:
        case 1:
        case 2:
            deliver_down(leader, rank);
            break;
        case 3:
        case 4:
        case 5:
            deliver_up(leader, rank);
            break;
        case 6:
            send_status(leader, rank);
            break;
        case 7:
            group.begin_step();
            break;
        case 8:
            group.finish_loading(static_cast<std::uint32_t>(rank));
            break;
        case 9:
            tick(leader);
            break;
        case 10:
            propose(leader);
            break;
        case 11:
            execute_late_order();
            break;
        case 12:
        case 14:
            inject_fault(leader, rank);
            break;
        case 13:
            now += std::chrono::milliseconds(100 * (1 + script_.choose(8)));
            tick(leader);
            break;
        default:
            run_round(script_.choose(4) == 0 ? leader : 0);
            break;
        }
    }

    /// Stops the faults and returns whether a leader then completes a switch.
    bool switches_without_faults()
    {
        late_orders_.clear();
        if (!group.open()) {
            group.rebuild_group();
        }
        for (agent& a : agents_) {
            a.fence_known = true;
            a.promised = std::max(a.promised, last_term_);
        }
        leaders_[1].switch_control.reset();
        claim(0);
        faults_disabled_ = true;
        const std::uint64_t before = group.switches();
        for (int i = 0; i < 400 && group.switches() == before; ++i) {
            now += 50ms;
            for (std::size_t rank = 0; rank < rank_count; ++rank) {
                group.finish_loading(static_cast<std::uint32_t>(rank));
                send_status(0, rank);
            }
            for (int k = 0; k < 4; ++k) {
                exchange(0);
            }
            group.begin_step();
            propose(0);
        }
        return group.switches() > before;
    }

    fakes::rank_group group{shape};
    core::time_point now{1h};

private:
    connection& connection_of(std::size_t leader, std::size_t rank) { return links_[leader][rank]; }

    void claim(std::size_t leader)
    {
        // A claim is one conditional write, so no two leaders get the same term.
        last_term_ = last_term_.next();
        leaders_[leader].own_term = last_term_;
        leaders_[leader].switch_control =
            std::make_unique<layout_switch>(last_term_, rank_count, leader % rank_count);
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            connection_of(leader, rank).to_member.push_back({last_term_, std::nullopt});
        }
    }

    void tick(std::size_t leader)
    {
        leader_process& l = leaders_[leader];
        if (!l.switch_control) {
            return;
        }
        update_layout(*l.switch_control);
        for (addressed_order& o : l.switch_control->take_orders(now)) {
            const std::uint32_t rank = o.rank;
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
        if (l.switch_control && l.switch_control->can_propose()) {
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
        if (c.to_member.empty()) {
            return;
        }
        leader_message message = std::move(c.to_member.front());
        c.to_member.pop_front();
        agent& a = agents_[rank];
        if (message.claim && a.fence_known) {
            a.promised = std::max(a.promised, *message.claim);
        }
        if (!message.order) {
            return;
        }
        member_message answer;
        answer.answered = message.order->id;
        if (a.fence_known && message.order->id.term == a.promised) {
            answer.result = execute(static_cast<std::uint32_t>(rank), message.order->order);
        }
        answer.promised = a.promised;
        answer.state = group.state(static_cast<std::uint32_t>(rank));
        c.to_leader.push_back(answer);
    }

    // Like rank_executor, sends the same order again until it is answered.
    std::optional<order_result> execute(std::uint32_t rank, const engine_order& order)
    {
        for (int i = 0; i < 3; ++i) {
            const std::size_t outcome = faults_disabled_ ? 7 : script_.choose(8);
            if (outcome == 0) {
                late_orders_.emplace_back(rank, order);
            }
            if (outcome == 1) {
                group.order(rank, order);
            }
            if (outcome == 2) {
                late_orders_.emplace_back(rank, order);
                group.begin_step();
            }
            const bool answered = outcome > 2;
            const order_result result = answered ? group.order(rank, order) : order_result::refused;
            if (answered && result != order_result::refused) {
                return result;
            }
            const rank_state state = group.state(rank);
            const bool accepted_before =
                i > 0 && answered && order.kind == order_kind::load && !state.armed;
            if (fulfilled(order, state) || accepted_before) {
                return order_result::already;
            }
            if (answered) {
                return order_result::refused;
            }
        }
        return std::nullopt;
    }

    void deliver_up(std::size_t leader, std::size_t rank)
    {
        connection& c = connection_of(leader, rank);
        if (c.to_leader.empty()) {
            return;
        }
        const member_message message = c.to_leader.front();
        c.to_leader.pop_front();
        leader_process& l = leaders_[leader];
        if (!l.switch_control) {
            return;
        }
        if (message.promised > l.own_term) {
            l.switch_control.reset();
            return;
        }
        if (message.promised != l.own_term) {
            return;
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
        connection_of(leader, rank)
            .to_leader.push_back({agents_[rank].promised,
                                  group.state(static_cast<std::uint32_t>(rank)), std::nullopt,
                                  std::nullopt});
    }

    // One full exchange of messages and a tick of the leader.
    void exchange(std::size_t leader)
    {
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            deliver_down(leader, rank);
            deliver_up(leader, rank);
        }
        tick(leader);
    }

    // The regular work of all processes, so that faults also hit switches in their late phases.
    void run_round(std::size_t leader)
    {
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            group.finish_loading(static_cast<std::uint32_t>(rank));
            send_status(leader, rank);
            while (!connection_of(leader, rank).to_member.empty()) {
                deliver_down(leader, rank);
            }
            while (!connection_of(leader, rank).to_leader.empty()) {
                deliver_up(leader, rank);
            }
        }
        tick(leader);
        if (script_.choose(2) == 0) {
            propose(leader);
        }
        if (script_.choose(2) == 0) {
            group.begin_step();
        }
    }

    void execute_late_order()
    {
        if (late_orders_.empty()) {
            return;
        }
        const std::size_t index = script_.choose(late_orders_.size());
        const std::pair<std::uint32_t, engine_order> order = late_orders_[index];
        late_orders_.erase(late_orders_.begin() + static_cast<long>(index));
        group.order(order.first, order.second);
    }

    void disconnect(std::size_t leader, std::size_t rank)
    {
        connection_of(leader, rank) = connection{};
        leader_process& l = leaders_[leader];
        if (l.switch_control) {
            l.switch_control->on_disconnected(static_cast<std::uint32_t>(rank));
            connection_of(leader, rank).to_member.push_back({l.own_term, std::nullopt});
        }
    }

    void inject_fault(std::size_t leader, std::size_t rank)
    {
        switch (script_.choose(8)) {
        case 0:
        case 1:
            claim(leader);
            break;
        case 2:
            leaders_[leader].switch_control.reset();
            break;
        case 3:
            disconnect(leader, rank);
            break;
        case 4:
            // The agent restarts. It obeys no leader until it has read the last term from the
            // store.
            agents_[rank] = agent{term{}, false};
            for (std::size_t l = 0; l < leader_count; ++l) {
                disconnect(l, rank);
            }
            break;
        case 5:
            agents_[rank].fence_known = true;
            agents_[rank].promised = std::max(agents_[rank].promised, last_term_);
            break;
        case 6:
            group.crash(static_cast<std::uint32_t>(rank));
            break;
        default:
            if (!group.open()) {
                group.rebuild_group();
            }
            break;
        }
    }

    testing::script& script_;
    std::array<agent, rank_count> agents_;
    std::array<leader_process, leader_count> leaders_;
    std::array<std::array<connection, rank_count>, leader_count> links_;
    std::vector<std::pair<std::uint32_t, engine_order>> late_orders_;
    term last_term_;
    std::uint64_t proposals_ = 0;
    bool faults_disabled_ = false;
};

} // namespace

TEST_GROUP(layout_switch_model){};

TEST(layout_switch_model, every_step_has_one_layout)
{
    std::uint64_t switches = 0;
    CHECK_TRUE(testing::check_model("layout switch", [&switches](testing::script& s) {
        switch_simulation simulation(s);
        while (!s.done()) {
            simulation.step();
            RC_ASSERT(simulation.group.violation() == "");
        }
        RC_ASSERT(simulation.switches_without_faults());
        RC_ASSERT(simulation.group.violation() == "");
        switches += simulation.group.switches();
    }));
    std::printf("model=\"layout switch\" switches=%llu\n",
                static_cast<unsigned long long>(switches));
    CHECK(switches > 0);
}
