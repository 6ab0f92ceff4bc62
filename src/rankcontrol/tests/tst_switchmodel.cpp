#include "simulatedagent.h"

#include "rankcontrol/layoutswitch.h"
#include "rankcontrol/rankcontrolconstants.h"
#include "rankcontrol/rankmessages.h"

#include "support/modelrun.h"
#include "support/rapidcheck.h"

#include <deque>
#include <memory>
#include <random>

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::rankcontrol;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t rank_count = 3;
constexpr std::size_t leader_count = 2;
/// Number of ways in which the choices within a command may turn out.
constexpr std::size_t detail_seeds = std::size_t{1} << 20;
const layout_shape shape{rank_count, 1, 6, 4, 2};

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

struct leader_process {
    std::unique_ptr<layout_switch> switch_control;
    term own_term;
};

// Simulates the engines, agents that obey the highest term, two candidates that may both act as the
// leader, and their faults: lost connections, orders that the engine does not answer and executes
// later or never, failures of leaders and agents, leaders that stand still and go on with what they
// believed, and crashes of ranks. The first ranks' agents are the candidates. An agent sends an
// order attempt by attempt, and reads its engine's state between orders. The oracle checks only the
// steps of the group.
class switch_simulation {
public:
    explicit switch_simulation(testing::script& s) : script_(s)
    {
        for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
            agents_.emplace_back(rank, group);
        }
        claim(0);
    }

    void step()
    {
        script_.next_command();
        const std::size_t rank = script_.choose(rank_count);
        const std::size_t leader = script_.choose(leader_count);
        const std::size_t command = script_.choose(32);
        details_.seed(static_cast<std::uint32_t>(script_.choose(detail_seeds)));
        switch (command) {
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
        case 15:
        case 16:
            attempt(rank);
            break;
        case 17:
            agents_[rank].read_state();
            break;
        case 18:
        case 19:
            stand_still(leader);
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
            now += std::chrono::milliseconds(100 * (1 + choose(8)));
            tick(leader);
            break;
        default:
            run_round(choose(4) == 0 ? leader : 0);
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
        for (testing::simulated_agent& a : agents_) {
            a.fence_known = true;
            a.promised = std::max(a.promised, last_term_);
            a.drop_orders();
        }
        leaders_[1].switch_control.reset();
        claim(0);
        faults_disabled_ = true;
        const std::uint64_t before = group.switches();
        for (int i = 0; i < 400 && group.switches() == before; ++i) {
            now += 50ms;
            for (std::size_t rank = 0; rank < rank_count; ++rank) {
                group.finish_loading(static_cast<std::uint32_t>(rank));
                agents_[rank].read_state();
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
    /// Makes the choices within one command, which may be many.
    std::size_t choose(std::size_t bound) { return details_() % bound; }

    connection& connection_of(std::size_t leader, std::size_t rank) { return links_[leader][rank]; }

    void claim(std::size_t leader)
    {
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
        if (!l.switch_control) {
            return;
        }
        update_layout(*l.switch_control);
        for (addressed_order& o : l.switch_control->take_orders(now)) {
            const std::uint32_t rank = o.rank;
            if (rank == leader) {
                agents_[rank].begin_order(leader, std::move(o));
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
        testing::simulated_agent& a = agents_[rank];
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
        const testing::simulated_agent& a = agents_[rank];
        if (a.state) {
            connection_of(leader, rank)
                .to_leader.push_back({a.promised, a.read_under, *a.state, id, result});
        }
    }

    void attempt(std::size_t rank)
    {
        testing::simulated_agent::choice engine_faults;
        if (!faults_disabled_) {
            engine_faults = [this](std::size_t bound) {
                return choose(bound);
            };
        }
        const std::optional<testing::simulated_agent::finished_order> finished =
            agents_[rank].attempt(engine_faults, late_orders_);
        if (finished) {
            answer(finished->leader, rank, finished->id, finished->result);
        }
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
        if (message.read_under != l.own_term) {
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
        const testing::simulated_agent& a = agents_[rank];
        if (a.state) {
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
        }
        tick(leader);
    }

    void finish_orders(std::size_t rank)
    {
        while (!agents_[rank].idle()) {
            attempt(rank);
        }
    }

    // The regular work of all processes, so that faults also hit switches in their late phases. The
    // answers of one rank may be late, also by more than the leader waits for them.
    void run_round(std::size_t leader)
    {
        const std::size_t late_rank = choose(2 * rank_count);
        if (choose(4) == 0) {
            now += std::chrono::milliseconds(100 * choose(25));
        }
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            group.finish_loading(static_cast<std::uint32_t>(rank));
            agents_[rank].read_state();
            send_status(leader, rank);
            while (!connection_of(leader, rank).to_member.empty()) {
                deliver_down(leader, rank);
            }
            finish_orders(rank);
            while (rank != late_rank && !connection_of(leader, rank).to_leader.empty()) {
                deliver_up(leader, rank);
            }
        }
        tick(leader);
        if (choose(4) == 0) {
            execute_late_order();
        }
        if (choose(2) == 0) {
            propose(leader);
        }
        if (choose(2) == 0) {
            group.begin_step();
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
            l.switch_control->on_disconnected(static_cast<std::uint32_t>(rank));
            connection_of(leader, rank).to_member.push_back({l.own_term, std::nullopt});
        }
    }

    // The leader's process stands still while the other candidate claims the leadership. On waking
    // it acts on its timers before it reads what has arrived, and then claims the next term.
    void stand_still(std::size_t leader)
    {
        const std::size_t other = (leader + 1) % leader_count;
        now += 2s;
        claim(other);
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            while (rank != leader && !connection_of(other, rank).to_member.empty()) {
                deliver_down(other, rank);
            }
        }
        tick(leader);
        attempt(leader);
        if (choose(2) == 0) {
            claim(leader);
        }
    }

    void inject_fault(std::size_t leader, std::size_t rank)
    {
        switch (choose(8)) {
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
            agents_[rank] = testing::simulated_agent(static_cast<std::uint32_t>(rank), group);
            agents_[rank].fence_known = false;
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
    std::minstd_rand details_;
    std::vector<testing::simulated_agent> agents_;
    std::array<leader_process, leader_count> leaders_;
    std::array<std::array<connection, rank_count>, leader_count> links_;
    testing::late_orders late_orders_;
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
