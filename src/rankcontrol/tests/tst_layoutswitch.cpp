#include "fakes/rankgroup.h"
#include "rankcontrol/layoutswitch.h"
#include "rankcontrol/rankcontrolconstants.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;
using namespace rankcontrol;

namespace {

const layout_shape shape{3, 1, 6, 4, 2};

layout other_layout()
{
    return {{{0, 3, 1}, {1, 4, 0}, {2, 5}}};
}

} // namespace

TEST_GROUP(layout_switches)
{
    fakes::rank_group group{shape};
    layout_switch leader{term{1}, 3, 0};
    core::time_point now{1h};

    void setup() override
    {
        leader.set_present(group.state(0).epoch, {}, initial_layout(shape));
        tell_states();
    }
    void tell_states()
    {
        for (std::uint32_t rank = 0; rank < group.size(); ++rank) {
            leader.on_state(group.state(rank), now);
        }
    }
    /// Carries out what the leader asks for; false when that was nothing.
    bool carry_out(std::optional<std::uint32_t> unresponsive = std::nullopt)
    {
        const std::vector<addressed_order> orders = leader.take_orders(now);
        for (const addressed_order& o : orders) {
            if (unresponsive == o.rank) {
                leader.on_answer(o.rank, std::nullopt, group.state(o.rank), now);
                continue;
            }
            const order_result result = group.order(o.rank, o.order);
            group.finish_loading(o.rank);
            leader.on_answer(o.rank, result, group.state(o.rank), now);
        }
        return !orders.empty();
    }
    void run_passes(int count)
    {
        for (int i = 0; i < count; ++i) {
            group.begin_step();
        }
        tell_states();
    }
};

TEST(layout_switches, fresh_group_is_settled_at_once)
{
    CHECK(leader.phase() == switch_phase::idle);
    CHECK(leader.can_propose());
    CHECK(leader.take_orders(now).empty());
}

TEST(layout_switches, all_ranks_switch_in_one_pass)
{
    leader.propose(other_layout(), now);
    while (carry_out()) {
    }
    CHECK(leader.phase() == switch_phase::idle);
    run_passes(5);
    LONGS_EQUAL(1, group.switches());
    CHECK(group.violation().empty());
    CHECK(leader.can_propose());
    LONGS_EQUAL(1'000'001, leader.running().value);
}

TEST(layout_switches, no_rank_is_armed_before_the_step_is_held)
{
    leader.propose(other_layout(), now);
    carry_out();
    CHECK(leader.phase() == switch_phase::holding);
    const std::vector<addressed_order> orders = leader.take_orders(now);
    LONGS_EQUAL(1, orders.size());
    LONGS_EQUAL(0, orders.front().rank);
    CHECK(orders.front().order.kind == order_kind::hold);
}

TEST(layout_switches, step_is_not_released_while_a_rank_is_not_armed)
{
    leader.propose(other_layout(), now);
    carry_out();
    carry_out();
    CHECK(leader.phase() == switch_phase::arming);
    for (int i = 0; i < 5; ++i) {
        carry_out(2);
        run_passes(3);
    }
    CHECK(leader.phase() == switch_phase::arming);
    LONGS_EQUAL(1, group.step().value);
}

TEST(layout_switches, the_step_lies_as_far_ahead_as_arming_took)
{
    leader.set_pass_time(80ms);
    leader.propose(other_layout(), now);
    carry_out();
    carry_out();
    CHECK(leader.phase() == switch_phase::arming);
    now += 800ms;
    while (carry_out()) {
    }
    CHECK(leader.phase() == switch_phase::idle);
    run_passes(3);
    leader.propose(initial_layout(shape), now);
    carry_out();
    CHECK(leader.phase() == switch_phase::holding);
    const std::vector<addressed_order> orders = leader.take_orders(now);
    CHECK(orders.front().order.step.value >= group.step().value + 10);
}

TEST(layout_switches, withdrawal_voids_late_orders_before_the_step_begins)
{
    leader.propose(other_layout(), now);
    carry_out();
    carry_out();
    const std::vector<addressed_order> arms = leader.take_orders(now);
    LONGS_EQUAL(3, arms.size());
    for (std::uint32_t rank = 0; rank < 2; ++rank) {
        leader.on_answer(rank, group.order(rank, arms[rank].order), group.state(rank), now);
    }
    now += arm_patience + 1ms;
    tell_states();
    CHECK(leader.phase() == switch_phase::withdrawing);
    while (carry_out() || leader.phase() == switch_phase::withdrawing) {
        now += order_patience + 1ms;
    }
    // The order to the last rank is carried out now.
    CHECK(group.order(2, arms[2].order) == order_result::refused);
    run_passes(5);
    LONGS_EQUAL(0, group.switches());
    CHECK(group.violation().empty());
    STRCMP_EQUAL("arm_timeout", std::string(leader.failure()).c_str());
    CHECK(leader.can_propose());
}

TEST(layout_switches, successor_finishes_what_is_armed_everywhere)
{
    leader.propose(other_layout(), now);
    carry_out();
    carry_out();
    for (const addressed_order& o : leader.take_orders(now)) {
        group.order(o.rank, o.order);
    }
    layout_switch successor(term{2}, 3, 1);
    successor.set_present(group.state(0).epoch, {}, initial_layout(shape));
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        successor.on_state(group.state(rank), now);
    }
    CHECK(successor.phase() == switch_phase::releasing);
    const std::vector<addressed_order> orders = successor.take_orders(now);
    LONGS_EQUAL(1, orders.size());
    CHECK(orders.front().order.kind == order_kind::release);
    group.order(orders.front().rank, orders.front().order);
    group.begin_step();
    group.begin_step();
    LONGS_EQUAL(1, group.switches());
    CHECK(group.violation().empty());
}

TEST(layout_switches, group_that_forms_anew_is_settled_anew)
{
    leader.propose(other_layout(), now);
    carry_out();
    group.crash(1);
    tell_states();
    CHECK(leader.take_orders(now).empty());
    group.rebuild_group();
    tell_states();
    CHECK(leader.phase() == switch_phase::settling);
    leader.set_present(group.state(0).epoch, {}, initial_layout(shape));
    tell_states();
    CHECK(leader.phase() == switch_phase::idle);
    CHECK(leader.can_propose());
    LONGS_EQUAL(0, leader.running().value);
}

TEST(layout_switches, successor_waits_for_the_layout_that_runs)
{
    leader.propose(other_layout(), now);
    carry_out();
    carry_out();
    const std::vector<addressed_order> arms = leader.take_orders(now);
    group.order(0, arms.front().order);
    layout_switch successor(term{2}, 3, 1);
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        successor.on_state(group.state(rank), now);
    }
    // It could not repeat the layout to the engines yet.
    CHECK(successor.phase() == switch_phase::settling);
    CHECK(successor.take_orders(now).empty());
    successor.set_present(group.state(0).epoch, {}, initial_layout(shape));
    successor.on_state(group.state(0), now);
    CHECK(successor.phase() == switch_phase::withdrawing);
}

TEST(layout_switches, late_hold_is_released)
{
    engine_order hold;
    hold.kind = order_kind::hold;
    hold.epoch = group.state(0).epoch;
    hold.step = core::step_number{3};
    group.order(0, hold);
    tell_states();
    carry_out();
    run_passes(5);
    LONGS_EQUAL(5, group.step().value);
}
