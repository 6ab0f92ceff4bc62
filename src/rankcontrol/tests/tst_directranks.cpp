#include "fakes/rankgroup.h"
#include "rankcontrol/layoutswitch.h"
#include "rankcontrol/rankcontrolconstants.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;
using namespace rankcontrol;

namespace {

constexpr std::uint32_t rank_count = 3;
const layout_shape shape{rank_count, 1, 6, 4, 2};
constexpr core::map_version first_version{1'000'001};

layout second_layout()
{
    return {{{0, 3, 1}, {1, 4, 0}, {2, 5}}};
}

engine_order order_of(order_kind kind, group_epoch epoch, core::step_number step)
{
    engine_order o;
    o.kind = kind;
    o.epoch = epoch;
    o.version = first_version;
    o.step = step;
    o.experts = std::make_shared<const layout>(second_layout());
    return o;
}

} // namespace

// The leader of term 1 loaded a layout on all ranks. The leader of term 2 reaches rank 2 directly;
// its agent, on the host of the earlier leader, still obeys term 1.
TEST_GROUP(direct_ranks)
{
    fakes::rank_group group{shape};
    layout_switch successor{term{2}, rank_count, 2};
    core::time_point now{1h};
    const core::step_number step{5};

    void setup() override
    {
        for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
            group.order(rank, order_of(order_kind::load, epoch(), {}));
            group.finish_loading(rank);
        }
        successor.set_direct(2, true);
        successor.set_current_layout(epoch(), {}, initial_layout(shape));
    }
    group_epoch epoch() const
    {
        return group.state(0).epoch;
    }
    order_result order(std::uint32_t rank, order_kind kind)
    {
        return group.order(rank, order_of(kind, epoch(), step));
    }
    void report_states()
    {
        for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
            successor.on_state(group.state(rank), now);
        }
    }
    bool execute_orders()
    {
        const std::vector<addressed_order> orders = successor.take_orders(now);
        for (const addressed_order& o : orders) {
            const order_result result = group.order(o.rank, o.order);
            group.finish_loading(o.rank);
            successor.on_answer(o.rank, o.id, result, group.state(o.rank), now);
        }
        return !orders.empty();
    }
    void run_group()
    {
        for (int i = 0; i < 20; ++i) {
            report_states();
            while (execute_orders()) {
            }
            group.begin_step();
        }
    }
};

// Without the fence, the rank switched alone: its agent held and armed a step under the earlier
// term after the successor had settled, and the successor took the hold for a late one.
TEST(direct_ranks, orders_of_a_woken_agent_are_void_once_the_successor_is_idle)
{
    report_states();
    while (execute_orders()) {
    }
    CHECK(successor.phase() == switch_phase::idle);
    order(2, order_kind::hold);
    order(2, order_kind::arm);
    successor.set_direct(2, false);
    run_group();
    STRCMP_EQUAL("", group.violation().c_str());
    LONGS_EQUAL(0, group.switches());
    CHECK(group.step() > step);
    CHECK(successor.can_propose());
}

// An earlier leader that goes on had all ranks armed and released its step, while a successor that
// had seen neither hold nor arms disarmed some of them.
TEST(direct_ranks, nothing_is_disarmed_without_an_own_hold)
{
    report_states();
    CHECK(successor.phase() == switch_phase::fencing);
    order(2, order_kind::hold);
    for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
        order(rank, order_kind::arm);
    }
    report_states();
    const std::vector<addressed_order> orders = successor.take_orders(now);
    LONGS_EQUAL(1, orders.size());
    CHECK(orders.front().order.kind == order_kind::hold);
    LONGS_EQUAL(step.value, orders.front().order.step.value);
    CHECK(orders.front().rank != 2);
}

// The agent of that rank may release the step under its earlier term.
TEST(direct_ranks, rank_that_is_reached_directly_is_not_ordered_to_hold)
{
    order(0, order_kind::hold);
    order(0, order_kind::arm);
    report_states();
    const std::vector<addressed_order> orders = successor.take_orders(now);
    LONGS_EQUAL(1, orders.size());
    LONGS_EQUAL(1, orders.front().rank);
    CHECK(orders.front().order.kind == order_kind::hold);
}

// A leader that does not know of its successor released the step that the successor held while it
// disarmed the ranks.
TEST(direct_ranks, hold_of_another_leader_is_not_released_directly)
{
    layout_switch leader{term{1}, rank_count, 0};
    leader.set_current_layout(epoch(), {}, initial_layout(shape));
    const auto report = [&] {
        for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
            leader.on_state(group.state(rank), now);
        }
    };
    report();
    leader.propose(second_layout(), now);
    while (leader.phase() != switch_phase::releasing) {
        for (const addressed_order& o : leader.take_orders(now)) {
            const order_result result = group.order(o.rank, o.order);
            group.finish_loading(o.rank);
            leader.on_answer(o.rank, o.id, result, group.state(o.rank), now);
        }
        report();
    }
    leader.set_direct(1, true);
    engine_order hold = order_of(order_kind::hold, epoch(), group.state(0).armed->step);
    group.order(1, hold);
    report();
    for (const addressed_order& o : leader.take_orders(now)) {
        CHECK(o.rank != 1);
    }
}

// The rank that held the step of a switch had a silent agent, and the group stood still until the
// agent was back.
TEST(direct_ranks, left_hold_of_a_silent_rank_is_released)
{
    order(2, order_kind::hold);
    order(2, order_kind::arm);
    order(0, order_kind::arm);
    run_group();
    CHECK(group.step() > step);
    STRCMP_EQUAL("", group.violation().c_str());
    LONGS_EQUAL(0, group.switches());
}

TEST(direct_ranks, no_switch_begins_while_an_agent_is_silent)
{
    run_group();
    CHECK(successor.phase() == switch_phase::idle);
    CHECK(!successor.can_propose());
    successor.set_direct(2, false);
    report_states();
    CHECK(successor.can_propose());
}
