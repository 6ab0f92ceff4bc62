#include "rankcontrol/groupleader.h"

#include "CppUTest/TestHarness.h"

#include <algorithm>

using namespace currantpitch;
using namespace currantpitch::rankcontrol;
using namespace std::chrono_literals;

// A group of four ranks whose experts are a little uneven: a switch would pay, but not much.
TEST_GROUP(group_leaders)
{
    const layout_shape shape{4, 1, 8, 4, 2};
    group_leader leader{term{1}, 0, shape, planner_costs{}, 150ms};
    core::time_point now{1h};
    std::uint64_t step = 10;

    rank_status status(std::uint32_t rank)
    {
        rank_status s;
        s.promised = term{1};
        s.state.rank = rank;
        s.state.group_size = 4;
        s.state.epoch = group_epoch{1};
        s.state.open = true;
        s.state.step = core::step_number{step};
        s.held_experts = {{static_cast<expert>(rank), static_cast<expert>(rank + 4)}};
        s.chosen = {to_compact({14500, 10000, 10000, 10000, 14500, 10000, 10000, 10000})};
        return s;
    }
    /// Lets the group run for a second with passes of that length; whether a switch began.
    bool runs(std::chrono::milliseconds pass)
    {
        for (core::duration passed{}; passed < 1s; passed += 25ms) {
            now += 25ms;
            step = 10 + static_cast<std::uint64_t>((now - core::time_point{1h}) / pass);
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

TEST(group_leaders, slow_passes_are_worth_a_small_gain)
{
    CHECK(runs(140ms));
}

TEST(group_leaders, fast_passes_are_not)
{
    CHECK(!runs(40ms));
}
