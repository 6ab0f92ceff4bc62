#include "expertmaps/expertmapsconstants.h"
#include "expertmaps/switchleader.h"
#include "expertmaps/switchparticipant.h"

#include "support/modelrun.h"
#include "support/rapidcheck.h"

#include <memory>

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::expertmaps;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t rank_count = 3;
constexpr std::size_t leader_count = 2;

struct order_in_flight {
    std::size_t leader = 0;
    std::uint64_t incarnation = 0;
    addressed_order message;
};
struct answer_in_flight {
    std::size_t leader = 0;
    std::uint64_t incarnation = 0;
    rank_answer message;
};

// Simulates ranks that run in lock-step, two leaders that may be active at the same time, and a
// network that loses, delays, reorders and duplicates messages. Agents and engines fail. The oracle
// only checks the steps: all ranks must use the same version, and it must never decrease.
class switch_simulation {
public:
    switch_simulation()
    {
        for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
            ranks_.emplace_back(rank, core::map_version{1}, false);
        }
    }

    void claim_fence(std::size_t leader)
    {
        if (store_unavailable) {
            return;
        }
        // The claim is one conditional write, so no two leaders get the same fence.
        leaders_[leader].incarnation = ++last_incarnation_;
        leaders_[leader].state_machine =
            std::make_unique<switch_leader>(core::fence{++last_fence_}, rank_count);
        send(leader, leaders_[leader].state_machine->begin(now));
    }
    void propose(std::size_t leader)
    {
        if (leaders_[leader].state_machine) {
            send(leader,
                 leaders_[leader].state_machine->propose(initial_map({rank_count, 3, 1}), now));
        }
    }
    void prepare(std::size_t leader, std::uint64_t lead_steps)
    {
        if (leaders_[leader].state_machine) {
            send(leader, leaders_[leader].state_machine->prepare_at(
                             core::step_number{step_ + lead_steps}, now));
        }
    }
    void tick(std::size_t leader, core::duration d)
    {
        now += d;
        if (leaders_[leader].state_machine) {
            send(leader, leaders_[leader].state_machine->tick(now));
        }
    }
    void fail_leader(std::size_t leader) { leaders_[leader] = {}; }

    void deliver_order(std::size_t choice, bool duplicate)
    {
        if (orders_.empty()) {
            return;
        }
        const std::size_t which = choice % orders_.size();
        const order_in_flight o = orders_[which];
        if (!duplicate) {
            orders_.erase(orders_.begin() + static_cast<std::ptrdiff_t>(which));
        }
        switch_participant& rank = ranks_[o.message.rank];
        if (o.message.order.kind == order_kind::stage) {
            rank.on_staged(o.message.order.version);
        }
        answers_.push_back(
            {o.leader, o.incarnation, rank.on_order(o.message.order, core::step_number{step_})});
    }
    void deliver_answer(std::size_t choice, bool duplicate)
    {
        if (answers_.empty()) {
            return;
        }
        const std::size_t which = choice % answers_.size();
        const answer_in_flight a = answers_[which];
        if (!duplicate) {
            answers_.erase(answers_.begin() + static_cast<std::ptrdiff_t>(which));
        }
        if (leaders_[a.leader].state_machine && leaders_[a.leader].incarnation == a.incarnation) {
            send(a.leader, leaders_[a.leader].state_machine->on_answer(a.message, now));
        }
    }
    void lose_messages(std::size_t choice)
    {
        if (!orders_.empty()) {
            orders_.erase(orders_.begin() + static_cast<std::ptrdiff_t>(choice % orders_.size()));
        }
        if (!answers_.empty()) {
            answers_.erase(answers_.begin() +
                           static_cast<std::ptrdiff_t>(choice % answers_.size()));
        }
    }
    // The engine fails and loses its state. It begins no step until it has adopted the state of the
    // group.
    void fail_rank(std::uint32_t rank)
    {
        const core::fence promised = ranks_[rank].state().promised;
        ranks_[rank] = switch_participant(rank, core::map_version{}, true);
        ranks_[rank].promise(promised);
        drop_connections(rank);
    }
    // The agent fails. The engine keeps the state, and the fence is read from the store.
    void fail_agent(std::uint32_t rank)
    {
        if (store_unavailable) {
            return;
        }
        rank_state kept = ranks_[rank].state();
        kept.promised = core::fence{last_fence_};
        ranks_[rank] = switch_participant(rank, kept.active, false);
        ranks_[rank].restore(kept);
        drop_connections(rank);
    }
    // Runs one step on all ranks if every rank may begin it. Returns whether it did.
    bool step()
    {
        const core::step_number next{step_ + 1};
        for (const switch_participant& rank : ranks_) {
            if (!rank.may_begin(next)) {
                return false;
            }
        }
        ++step_;
        const core::map_version used = ranks_[0].begin(next);
        for (std::uint32_t rank = 1; rank < rank_count; ++rank) {
            const core::map_version other = ranks_[rank].begin(next);
            RC_ASSERT(other == used);
        }
        RC_ASSERT(used >= last_used_);
        switches += used > last_used_ ? 1 : 0;
        last_used_ = used;
        return true;
    }

    // Checks that without faults one leader makes the group run steps and switch to a new version.
    void recover()
    {
        store_unavailable = false;
        orders_.clear();
        answers_.clear();
        fail_leader(1);
        claim_fence(0);
        const core::map_version before = last_used_;
        bool proposed = false;
        for (int round = 0; round < 400 && last_used_ <= before; ++round) {
            while (!orders_.empty() || !answers_.empty()) {
                deliver_order(0, false);
                deliver_answer(0, false);
            }
            const leader_phase phase = leaders_[0].state_machine->phase();
            if (phase == leader_phase::idle && !proposed) {
                propose(0);
                proposed = true;
            }
            else if (leaders_[0].state_machine->staged()) {
                prepare(0, 3);
            }
            else if (phase == leader_phase::idle) {
                step();
                proposed = last_used_ <= before && round % 20 != 19;
            }
            tick(0, 250ms);
        }
        RC_ASSERT(last_used_ > before);
    }

    core::time_point now{1h};
    bool store_unavailable = false;
    /// Number of switches that took effect.
    std::uint64_t switches = 0;

private:
    struct leader_process {
        std::uint64_t incarnation = 0;
        std::unique_ptr<switch_leader> state_machine;
    };

    void send(std::size_t leader, std::vector<addressed_order> orders)
    {
        for (addressed_order& o : orders) {
            orders_.push_back({leader, leaders_[leader].incarnation, std::move(o)});
        }
    }
    void drop_connections(std::uint32_t rank)
    {
        std::erase_if(orders_, [rank](const order_in_flight& o) { return o.message.rank == rank; });
        std::erase_if(answers_,
                      [rank](const answer_in_flight& a) { return a.message.rank == rank; });
        for (std::size_t leader = 0; leader < leader_count; ++leader) {
            if (leaders_[leader].state_machine) {
                send(leader, leaders_[leader].state_machine->on_rank_reconnected(rank, now));
            }
        }
    }

    std::vector<switch_participant> ranks_;
    std::array<leader_process, leader_count> leaders_;
    std::vector<order_in_flight> orders_;
    std::vector<answer_in_flight> answers_;
    std::uint64_t step_ = 0;
    std::uint64_t last_fence_ = 0;
    std::uint64_t last_incarnation_ = 0;
    core::map_version last_used_{1};
};

// Counted over all runs, to verify that switches complete while faults occur.
std::uint64_t switches_under_faults = 0;

void run_simulation(testing::script& s)
{
    switch_simulation simulation;
    simulation.claim_fence(0);
    while (!s.done()) {
        s.next_command();
        const std::size_t leader = s.choose(leader_count);
        const std::uint32_t rank = static_cast<std::uint32_t>(s.choose(rank_count));
        switch (s.choose(16)) {
        case 0:
            simulation.claim_fence(leader);
            break;
        case 1:
        case 2:
            simulation.propose(leader);
            simulation.prepare(leader, 1 + s.choose(6));
            break;
        case 3:
            simulation.tick(leader, 50ms * s.choose(10));
            break;
        case 4:
        case 5:
        case 6:
        case 7: {
            const std::size_t which = s.choose(1000);
            const bool duplicate = s.choose(5) == 0;
            for (std::size_t i = 0; i < 1 + s.choose(5); ++i) {
                simulation.deliver_order(which + i, duplicate);
            }
            break;
        }
        case 8:
        case 9:
        case 10: {
            const std::size_t which = s.choose(1000);
            const bool duplicate = s.choose(5) == 0;
            for (std::size_t i = 0; i < 1 + s.choose(5); ++i) {
                simulation.deliver_answer(which + i, duplicate);
            }
            break;
        }
        case 11:
        case 12:
            simulation.step();
            break;
        case 13:
            simulation.lose_messages(s.choose(1000));
            break;
        case 14:
            if (s.choose(3) == 0) {
                simulation.fail_leader(leader);
            }
            break;
        default:
            switch (s.choose(6)) {
            case 0:
                simulation.fail_rank(rank);
                break;
            case 1:
                simulation.fail_agent(rank);
                break;
            case 2:
                simulation.store_unavailable = !simulation.store_unavailable;
                break;
            default:
                break;
            }
            break;
        }
    }
    switches_under_faults += simulation.switches;
    simulation.recover();
}

} // namespace

TEST_GROUP(switch_model){};

TEST(switch_model, all_ranks_use_one_map_in_every_step)
{
    switches_under_faults = 0;
    CHECK_TRUE(testing::check_model("switch", run_simulation));
    std::printf("switch switches_under_faults=%llu\n",
                static_cast<unsigned long long>(switches_under_faults));
    CHECK(switches_under_faults > 0);
}

TEST_GROUP(switches)
{
    core::time_point now{1h};
    std::vector<switch_participant> ranks;
    switch_leader leader{core::fence{1}, 4};
    std::uint64_t step = 100;
    int stalled = 0;

    void setup() override
    {
        for (std::uint32_t i = 0; i < 4; ++i) {
            ranks.emplace_back(i, core::map_version{1}, false);
        }
        exchange(leader.begin(now));
    }
    void exchange(std::vector<addressed_order> orders)
    {
        while (!orders.empty()) {
            std::vector<addressed_order> next;
            for (const addressed_order& o : orders) {
                if (o.order.kind == order_kind::stage) {
                    ranks[o.rank].on_staged(o.order.version);
                }
                const rank_answer a = ranks[o.rank].on_order(o.order, core::step_number{step});
                const std::vector<addressed_order> more = leader.on_answer(a, now);
                next.insert(next.end(), more.begin(), more.end());
            }
            orders = std::move(next);
        }
    }
    void run_steps(int count)
    {
        for (int i = 0; i < count; ++i) {
            const core::step_number next{step + 1};
            const bool all =
                std::all_of(ranks.begin(), ranks.end(),
                            [next](const switch_participant& p) { return p.may_begin(next); });
            stalled += all ? 0 : 1;
            if (!all) {
                continue;
            }
            ++step;
            for (switch_participant& p : ranks) {
                p.begin(next);
            }
        }
    }
};

TEST(switches, healthy_group_switches_without_losing_a_step)
{
    CHECK(leader.phase() == leader_phase::idle);
    exchange(leader.propose(initial_map({4, 8, 2}), now));
    CHECK(leader.staged());
    exchange(leader.prepare_at(core::step_number{step + min_prepare_lead_steps}, now));
    CHECK(leader.phase() == leader_phase::idle);
    run_steps(20);
    LONGS_EQUAL(0, stalled);
    for (const switch_participant& p : ranks) {
        CHECK(p.state().active == first_version(core::fence{1}).next());
    }
}

TEST(switches, orders_of_a_resumed_leader_are_refused)
{
    exchange(leader.propose(initial_map({4, 8, 2}), now));
    const std::vector<addressed_order> prepares =
        leader.prepare_at(core::step_number{step + 5}, now);
    switch_leader successor(core::fence{2}, 4);
    for (const addressed_order& o : successor.begin(now)) {
        ranks[o.rank].on_order(o.order, core::step_number{step});
    }
    for (const addressed_order& o : prepares) {
        const rank_answer a = ranks[o.rank].on_order(o.order, core::step_number{step});
        CHECK(!a.accepted);
        leader.on_answer(a, now);
    }
    CHECK(leader.phase() == leader_phase::deposed);
    run_steps(10);
    LONGS_EQUAL(0, stalled);
}

TEST(switches, late_answer_to_an_earlier_query_is_ignored)
{
    // The rank was fresh when it answered the first query and has adopted the state since then.
    rank_answer late;
    late.rank = 0;
    late.kind = order_kind::query;
    late.proposal = {core::fence{1}, 1};
    late.accepted = true;
    late.state.fresh = true;
    late.state.promised = core::fence{1};
    leader.on_rank_reconnected(0, now);
    CHECK(leader.on_answer(late, now).empty());
    CHECK(leader.phase() == leader_phase::querying);
}

TEST(switches, rank_that_fails_before_the_step_adopts_the_active_and_the_committed_map)
{
    exchange(leader.propose(initial_map({4, 8, 2}), now));
    exchange(leader.prepare_at(core::step_number{step + 5}, now));
    ranks[2] = switch_participant(2, core::map_version{}, true);
    exchange(leader.on_rank_reconnected(2, now));
    CHECK(ranks[2].state().active == core::map_version{1});
    run_steps(10);
    LONGS_EQUAL(0, stalled);
    for (const switch_participant& p : ranks) {
        CHECK(p.state().active == ranks[0].state().active);
    }
}

TEST(switches, rank_waits_at_the_step_until_it_knows_the_outcome)
{
    exchange(leader.propose(initial_map({4, 8, 2}), now));
    const std::vector<addressed_order> prepares =
        leader.prepare_at(core::step_number{step + 2}, now);
    ranks[0].on_order(prepares[0].order, core::step_number{step});
    run_steps(10);
    LONGS_EQUAL(101, step);
    LONGS_EQUAL(9, stalled);
    now += prepare_timeout + 1ms;
    exchange(leader.tick(now));
    run_steps(1);
    LONGS_EQUAL(102, step);
    CHECK(ranks[0].state().active == core::map_version{1});
}
