#include "simulatedleaders.h"

#include "support/modelrun.h"
#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::rankcontrol;
using namespace std::chrono_literals;
using testing::leader_count;
using testing::rank_count;

namespace {

/// Number of ways in which the choices within a command may turn out.
constexpr std::size_t detail_seeds = std::size_t{1} << 20;

// Simulates the engines, agents that obey the highest term, two candidates that may both act as the
// leader, and their faults: lost connections, orders that the engine does not answer and executes
// later or never, failures of leaders and agents, leaders that stand still and go on with what they
// believed, agents that freeze and go on with what they had begun, leaders that reach engines
// directly, also where the agent still runs, and crashes of ranks. The first ranks' agents are the
// candidates. An agent sends an order attempt by attempt, and reads its engine's state between
// orders. The oracle checks only the steps of the group.
class switch_simulation : public testing::simulated_leaders {
public:
    explicit switch_simulation(testing::script& s) : script_(s) {}

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
        case 20:
            frozen_[rank] = !frozen_[rank];
            break;
        case 21:
            reach_directly(leader, rank);
            break;
        case 22:
            read_directly(leader, rank);
            break;
        case 23:
            attempt_directly(leader, rank);
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

    /// Stops the faults but for a frozen agent, and returns whether the group then goes on.
    bool runs_with_a_frozen_agent()
    {
        stop_faults();
        frozen_[2] = true;
        if (group.state(0).held_step && group.state(1).held_step) {
            // No engine is left that a new leader could order to hold a step.
            return true;
        }
        const core::step_number before = group.step();
        for (int i = 0; i < 200 && group.step().value < before.value + 20; ++i) {
            now += 50ms;
            reach_directly(0, 2);
            for (std::size_t rank = 0; rank < rank_count; ++rank) {
                group.finish_loading(static_cast<std::uint32_t>(rank));
            }
            for (std::size_t rank = 0; rank < 2; ++rank) {
                agents_[rank].read_state();
                send_status(0, rank);
            }
            for (int k = 0; k < 4; ++k) {
                exchange(0);
            }
            group.begin_step();
        }
        return group.step().value >= before.value + 20;
    }

    /// Stops the faults and returns whether a leader then completes a switch.
    bool switches_without_faults()
    {
        stop_faults();
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

private:
    void stop_faults()
    {
        late_orders_.clear();
        frozen_.fill(false);
        if (!group.open()) {
            group.rebuild_group();
        }
        for (testing::simulated_agent& a : agents_) {
            a.fence_known = true;
            a.promised = std::max(a.promised, last_term_);
            a.drop_orders();
        }
        end_leading(1);
        claim(0);
        faults_disabled_ = true;
    }

    // The regular work of all processes, so that faults also hit switches in their late phases. The
    // answers of one rank may be late, also by more than the leader waits for them.
    void run_round(std::size_t leader)
    {
        if (frozen_[leader]) {
            return;
        }
        const std::size_t late_rank = choose(2 * rank_count);
        if (choose(4) == 0) {
            now += std::chrono::milliseconds(100 * choose(25));
        }
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            group.finish_loading(static_cast<std::uint32_t>(rank));
            if (frozen_[rank] && choose(2) == 0) {
                reach_directly(leader, rank);
            }
            use_direct_calls(leader, rank);
            if (frozen_[rank]) {
                continue;
            }
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

    // The leader's process stands still while the other candidate claims the leadership. On waking
    // it acts on its timers before it reads what has arrived, and then claims the next term.
    void stand_still(std::size_t leader)
    {
        const std::size_t other = (leader + 1) % leader_count;
        now += 2s;
        claim(other);
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            while (rank != leader && !frozen_[rank] &&
                   !connection_of(other, rank).to_member.empty()) {
                deliver_down(other, rank);
            }
        }
        frozen_[leader] = false;
        tick(leader);
        attempt(leader);
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            read_directly(leader, rank);
            attempt_directly(leader, rank);
        }
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
            end_leading(leader);
            break;
        case 3:
            disconnect(leader, rank);
            break;
        case 4:
            // The agent restarts. It obeys no leader until it has read the last term from the
            // store.
            frozen_[rank] = false;
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
        RC_ASSERT(simulation.runs_with_a_frozen_agent());
        RC_ASSERT(simulation.switches_without_faults());
        RC_ASSERT(simulation.group.violation() == "");
        switches += simulation.group.switches();
    }));
    std::printf("model=\"layout switch\" switches=%llu\n",
                static_cast<unsigned long long>(switches));
    CHECK(switches > 0);
}
