#include "fakes/rankgroup.h"
#include "rankcontrol/layoutswitch.h"
#include "rankcontrol/rankcontrolconstants.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;
using namespace rankcontrol;

namespace {

const layout_shape shape{3, 1, 6, 4, 2};

layout second_layout()
{
    return {{{0, 3, 1}, {1, 4, 0}, {2, 5}}};
}

// The orders of a leader that has decided on one end of its switch. None of them is executed yet.
struct abandoned_switch {
    explicit abandoned_switch(const layout_shape& s) : group(s) {}

    fakes::rank_group group;
    std::vector<addressed_order> late_orders;
};

// A leader arms all ranks. It withdraws the switch, because it does not learn that in time, or it
// releases the step. Then it ends.
abandoned_switch abandon_switch(bool withdrawn)
{
    abandoned_switch s(shape);
    core::time_point now{1h};
    layout_switch leader(term{1}, 3, 0);
    leader.set_current_layout(s.group.state(0).epoch, {}, initial_layout(shape));
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        leader.on_state(s.group.state(rank), now);
    }
    leader.propose(second_layout(), now);
    while (!s.group.state(0).armed || !s.group.state(1).armed || !s.group.state(2).armed) {
        for (const addressed_order& o : leader.take_orders(now)) {
            const order_result result = s.group.order(o.rank, o.order);
            s.group.finish_loading(o.rank);
            if (withdrawn && o.rank == 2 && o.order.kind == order_kind::arm) {
                now += arm_timeout + 1ms;
                continue;
            }
            leader.on_answer(o.rank, o.id, result, s.group.state(o.rank), now);
        }
    }
    s.late_orders = leader.take_orders(now);
    return s;
}

// Has a successor take over, executes the late orders before its n-th order and lets the group run
// whenever it can. Returns the group's violation.
std::string take_over(bool withdrawn, std::size_t n)
{
    abandoned_switch s = abandon_switch(withdrawn);
    core::time_point now{2h};
    layout_switch successor(term{2}, 3, 1);
    successor.set_current_layout(s.group.state(0).epoch, {}, initial_layout(shape));
    std::size_t orders = 0;
    const auto execute_late = [&s] {
        for (const addressed_order& o : std::exchange(s.late_orders, {})) {
            s.group.order(o.rank, o.order);
        }
    };
    for (int round = 0; round < 12; ++round) {
        now += 50ms;
        for (std::uint32_t rank = 0; rank < 3; ++rank) {
            successor.on_state(s.group.state(rank), now);
        }
        for (const addressed_order& o : successor.take_orders(now)) {
            if (orders++ == n) {
                execute_late();
                s.group.begin_step();
            }
            const order_result result = s.group.order(o.rank, o.order);
            s.group.finish_loading(o.rank);
            successor.on_answer(o.rank, o.id, result, s.group.state(o.rank), now);
            s.group.begin_step();
        }
    }
    execute_late();
    for (int i = 0; i < 20; ++i) {
        s.group.begin_step();
    }
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        successor.on_state(s.group.state(rank), now);
    }
    if (!successor.can_propose()) {
        return "the successor cannot switch";
    }
    return s.group.violation();
}

} // namespace

TEST_GROUP(layout_switches)
{
    fakes::rank_group group{shape};
    layout_switch leader{term{1}, 3, 0};
    core::time_point now{1h};

    void setup() override
    {
        leader.set_current_layout(group.state(0).epoch, {}, initial_layout(shape));
        report_states();
    }
    void report_states()
    {
        for (std::uint32_t rank = 0; rank < group.size(); ++rank) {
            leader.on_state(group.state(rank), now);
        }
    }
    /// Executes the orders of the leader. Returns false when there are none.
    bool execute_orders(std::optional<std::uint32_t> unresponsive = std::nullopt)
    {
        const std::vector<addressed_order> orders = leader.take_orders(now);
        for (const addressed_order& o : orders) {
            if (unresponsive == o.rank) {
                leader.on_answer(o.rank, o.id, std::nullopt, group.state(o.rank), now);
                continue;
            }
            const order_result result = group.order(o.rank, o.order);
            group.finish_loading(o.rank);
            leader.on_answer(o.rank, o.id, result, group.state(o.rank), now);
        }
        return !orders.empty();
    }
    void run_steps(int count)
    {
        for (int i = 0; i < count; ++i) {
            group.begin_step();
        }
        report_states();
    }
};

TEST(layout_switches, new_group_settles_immediately)
{
    CHECK(leader.phase() == switch_phase::idle);
    CHECK(leader.can_propose());
    CHECK(leader.take_orders(now).empty());
}

TEST(layout_switches, all_ranks_switch_in_one_step)
{
    leader.propose(second_layout(), now);
    while (execute_orders()) {
    }
    CHECK(leader.phase() == switch_phase::idle);
    run_steps(5);
    LONGS_EQUAL(1, group.switches());
    CHECK(group.violation().empty());
    CHECK(leader.can_propose());
    LONGS_EQUAL(1'000'001, leader.running_version().value);
}

TEST(layout_switches, no_rank_is_armed_before_the_step_is_held)
{
    leader.propose(second_layout(), now);
    execute_orders();
    CHECK(leader.phase() == switch_phase::holding);
    const std::vector<addressed_order> orders = leader.take_orders(now);
    LONGS_EQUAL(1, orders.size());
    LONGS_EQUAL(0, orders.front().rank);
    CHECK(orders.front().order.kind == order_kind::hold);
}

TEST(layout_switches, step_is_not_released_until_all_ranks_are_armed)
{
    leader.propose(second_layout(), now);
    execute_orders();
    execute_orders();
    CHECK(leader.phase() == switch_phase::arming);
    for (int i = 0; i < 5; ++i) {
        execute_orders(2);
        run_steps(3);
    }
    CHECK(leader.phase() == switch_phase::arming);
    LONGS_EQUAL(1, group.step().value);
}

TEST(layout_switches, the_step_lies_as_far_ahead_as_arming_took)
{
    leader.set_step_time(80ms);
    leader.propose(second_layout(), now);
    execute_orders();
    execute_orders();
    CHECK(leader.phase() == switch_phase::arming);
    now += 800ms;
    while (execute_orders()) {
    }
    CHECK(leader.phase() == switch_phase::idle);
    run_steps(3);
    leader.propose(initial_layout(shape), now);
    execute_orders();
    CHECK(leader.phase() == switch_phase::holding);
    const std::vector<addressed_order> orders = leader.take_orders(now);
    CHECK(orders.front().order.step.value >= group.step().value + 10);
}

TEST(layout_switches, withdrawal_invalidates_late_orders_before_the_step_begins)
{
    leader.propose(second_layout(), now);
    execute_orders();
    execute_orders();
    const std::vector<addressed_order> arms = leader.take_orders(now);
    LONGS_EQUAL(3, arms.size());
    for (std::uint32_t rank = 0; rank < 2; ++rank) {
        leader.on_answer(rank, arms[rank].id, group.order(rank, arms[rank].order),
                         group.state(rank), now);
    }
    now += arm_timeout + 1ms;
    report_states();
    CHECK(leader.phase() == switch_phase::withdrawing);
    while (execute_orders() || leader.phase() == switch_phase::withdrawing) {
        now += order_timeout + 1ms;
    }
    // The order to the last rank is executed only now.
    CHECK(group.order(2, arms[2].order) == order_result::refused);
    run_steps(5);
    LONGS_EQUAL(0, group.switches());
    CHECK(group.violation().empty());
    STRCMP_EQUAL("arm_timeout", std::string(leader.failure()).c_str());
    CHECK(leader.can_propose());
}

TEST(layout_switches, late_disarm_of_an_earlier_leader_does_not_meet_a_released_step)
{
    for (std::size_t n = 0; n < 12; ++n) {
        STRCMP_EQUAL("", take_over(true, n).c_str());
    }
}

TEST(layout_switches, late_release_of_an_earlier_leader_does_not_meet_a_withdrawn_switch)
{
    for (std::size_t n = 0; n < 12; ++n) {
        STRCMP_EQUAL("", take_over(false, n).c_str());
    }
}

TEST(layout_switches, successor_holds_the_step_on_another_engine_before_it_disarms)
{
    const abandoned_switch s = abandon_switch(false);
    layout_switch successor(term{2}, 3, 1);
    successor.set_current_layout(s.group.state(0).epoch, {}, initial_layout(shape));
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        successor.on_state(s.group.state(rank), now);
    }
    CHECK(successor.phase() == switch_phase::securing);
    const std::vector<addressed_order> orders = successor.take_orders(now);
    LONGS_EQUAL(1, orders.size());
    LONGS_EQUAL(1, orders.front().rank);
    CHECK(orders.front().order.kind == order_kind::hold);
    LONGS_EQUAL(s.group.state(0).armed->step.value, orders.front().order.step.value);
}

TEST(layout_switches, no_step_is_held_twice)
{
    leader.propose(second_layout(), now);
    execute_orders();
    const std::vector<addressed_order> holds = leader.take_orders(now);
    LONGS_EQUAL(1, holds.size());
    // The hold is executed too late, and the switch is withdrawn.
    now += arm_timeout + 1ms;
    report_states();
    CHECK(leader.phase() == switch_phase::withdrawing);
    leader.on_answer(0, holds.front().id, group.order(0, holds.front().order), group.state(0), now);
    while (execute_orders()) {
    }
    CHECK(leader.can_propose());
    leader.propose(second_layout(), now);
    execute_orders();
    CHECK(leader.take_orders(now).front().order.step > holds.front().order.step);
}

TEST(layout_switches, rebuilt_group_settles_again)
{
    leader.propose(second_layout(), now);
    execute_orders();
    group.crash(1);
    report_states();
    CHECK(leader.take_orders(now).empty());
    group.rebuild_group();
    report_states();
    CHECK(leader.phase() == switch_phase::settling);
    leader.set_current_layout(group.state(0).epoch, {}, initial_layout(shape));
    report_states();
    CHECK(leader.phase() == switch_phase::idle);
    CHECK(leader.can_propose());
    LONGS_EQUAL(0, leader.running_version().value);
}

TEST(layout_switches, successor_waits_until_it_knows_the_active_layout)
{
    leader.propose(second_layout(), now);
    execute_orders();
    execute_orders();
    const std::vector<addressed_order> arms = leader.take_orders(now);
    group.order(0, arms.front().order);
    layout_switch successor(term{2}, 3, 1);
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        successor.on_state(group.state(rank), now);
    }
    // Until the layout is known, a withdrawal could not send it to the engines again.
    CHECK(successor.phase() == switch_phase::settling);
    CHECK(successor.take_orders(now).empty());
    successor.set_current_layout(group.state(0).epoch, {}, initial_layout(shape));
    successor.on_state(group.state(0), now);
    CHECK(successor.phase() == switch_phase::securing);
}

TEST(layout_switches, late_hold_is_released)
{
    engine_order hold;
    hold.kind = order_kind::hold;
    hold.epoch = group.state(0).epoch;
    hold.step = core::step_number{3};
    group.order(0, hold);
    report_states();
    execute_orders();
    run_steps(5);
    LONGS_EQUAL(5, group.step().value);
}

// Review case 2: the answer to an arm order that came after the order was given up counted for the
// load order that followed. The rank kept the withdrawn layout and switched to it alone.
TEST(layout_switches, late_answer_does_not_count_for_the_order_that_followed)
{
    leader.propose(second_layout(), now);
    execute_orders();
    execute_orders();
    const std::vector<addressed_order> arms = leader.take_orders(now);
    for (std::uint32_t rank = 0; rank < 2; ++rank) {
        leader.on_answer(rank, arms[rank].id, group.order(rank, arms[rank].order),
                         group.state(rank), now);
    }
    now += order_timeout + 1ms;
    const rank_state armed_state = [&] {
        group.order(2, arms[2].order);
        return group.state(2);
    }();
    const std::vector<addressed_order> withdrawal = leader.take_orders(now);
    LONGS_EQUAL(3, withdrawal.size());
    CHECK(withdrawal[2].order.kind == order_kind::load);
    leader.on_answer(2, arms[2].id, order_result::already, armed_state, now);
    // The engine refuses the load order, since it is armed, and is disarmed then.
    leader.on_answer(2, withdrawal[2].id, group.order(2, withdrawal[2].order), group.state(2), now);
    for (std::uint32_t rank = 0; rank < 2; ++rank) {
        leader.on_answer(rank, withdrawal[rank].id, group.order(rank, withdrawal[rank].order),
                         group.state(rank), now);
    }
    while (execute_orders()) {
    }
    CHECK(leader.can_propose());
    CHECK(group.order(2, arms[2].order) == order_result::refused);
    run_steps(5);
    STRCMP_EQUAL("", group.violation().c_str());
}

// On a slow host an answer takes longer than the leader waits for it. An order that was accepted is
// refused when it is sent again while the engine copies experts.
TEST(layout_switches, late_answer_counts_for_an_order_that_was_sent_again)
{
    leader.propose(second_layout(), now);
    const std::vector<addressed_order> loads = leader.take_orders(now);
    LONGS_EQUAL(3, loads.size());
    std::vector<order_result> results;
    for (const addressed_order& o : loads) {
        results.push_back(group.order(o.rank, o.order));
    }
    now += order_timeout + 1ms;
    const std::vector<addressed_order> again = leader.take_orders(now);
    LONGS_EQUAL(3, again.size());
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        leader.on_answer(rank, loads[rank].id, results[rank], group.state(rank), now);
        leader.on_answer(rank, again[rank].id, group.order(rank, again[rank].order),
                         group.state(rank), now);
    }
    CHECK(leader.phase() == switch_phase::loading);
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        group.finish_loading(rank);
    }
    report_states();
    CHECK(leader.phase() == switch_phase::holding);
}
