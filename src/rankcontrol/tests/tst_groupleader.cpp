#include "rankcontrol/groupleader.h"

#include "CppUTest/TestHarness.h"

#include <algorithm>

using namespace currantpitch;
using namespace currantpitch::rankcontrol;
using namespace std::chrono_literals;

// A group of four ranks with slightly uneven load on the experts, so that a switch has a small
// gain.
TEST_GROUP(group_leaders)
{
    const layout_shape shape{4, 1, 8, 4, 2};
    group_leader leader{
        term{1}, {core::service_id("draft"), core::group_id("a")}, shape, planner_costs{}, 150ms};
    core::time_point now{1h};
    std::uint64_t step = 10;

    rank_status status(std::uint32_t rank)
    {
        rank_status s;
        s.promised = term{1};
        s.read_under = term{1};
        s.state.rank = rank;
        s.state.group_size = 4;
        s.state.epoch = group_epoch{1};
        s.state.open = true;
        s.state.step = core::step_number{step};
        s.held_experts = {{static_cast<expert>(rank), static_cast<expert>(rank + 4)}};
        s.selection_counts = {to_compact({14500, 10000, 10000, 10000, 14500, 10000, 10000, 10000})};
        return s;
    }
    /// Runs the group for up to one second with steps of that duration. Returns whether a switch
    /// began.
    bool begins_switch(std::chrono::milliseconds step_time)
    {
        for (core::duration elapsed{}; elapsed < 1s; elapsed += 25ms) {
            now += 25ms;
            step = 10 + static_cast<std::uint64_t>((now - core::time_point{1h}) / step_time);
            for (std::uint32_t rank = 0; rank < 4; ++rank) {
                leader.on_status(status(rank), now);
            }
            const std::vector<addressed_order> orders = leader.tick(now);
            if (std::any_of(orders.begin(), orders.end(), [](const addressed_order& o) {
                    return o.order.kind == order_kind::load && o.order.version.value > 0;
                })) {
                return true;
            }
        }
        return false;
    }
};

// A leader counted a rank as armed by a state from before its term, while an order of the earlier
// term disarmed the rank.
TEST(group_leaders, state_from_before_the_promise_does_not_count)
{
    for (std::uint32_t rank = 0; rank < 4; ++rank) {
        rank_status s = status(rank);
        s.read_under = term{};
        leader.on_status(s, now);
    }
    CHECK(leader.progress().phase() == switch_phase::settling);
    CHECK(!leader.active_version().has_value());
    // The lists that came with these states are not sent again.
    for (std::uint32_t rank = 0; rank < 4; ++rank) {
        rank_status s = status(rank);
        s.held_experts.clear();
        leader.on_status(s, now);
    }
    CHECK(leader.active_version().has_value());
    leader.tick(now);
    CHECK(leader.progress().phase() == switch_phase::idle);
}

TEST(group_leaders, switches_for_a_small_gain_while_steps_are_slow)
{
    CHECK(begins_switch(140ms));
}

TEST(group_leaders, does_not_switch_for_a_small_gain_while_steps_are_fast)
{
    CHECK(!begins_switch(40ms));
}
