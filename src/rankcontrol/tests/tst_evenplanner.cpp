#include "rankcontrol/evenplanner.h"
#include "rankcontrol/groupleader.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

#include <numeric>
#include <set>

using namespace currantpitch;
using namespace rankcontrol;

namespace {

const layout_shape shape{12, 2, 72, 8, 3};

/// Power-law shares in a shuffled order.
std::vector<double> skewed_shares(std::size_t experts, double exponent, std::uint64_t seed)
{
    std::vector<double> shares(experts);
    std::vector<std::size_t> order(experts);
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::mt19937_64 random(seed);
    std::shuffle(order.begin(), order.end(), random);
    double total = 0;
    for (std::size_t i = 0; i < experts; ++i) {
        shares[order[i]] = std::pow(static_cast<double>(i + 1), -exponent);
        total += shares[order[i]];
    }
    for (double& s : shares) {
        s /= total;
    }
    return shares;
}

std::size_t count_new(const std::vector<expert>& before, const std::vector<expert>& after)
{
    return static_cast<std::size_t>(std::count_if(after.begin(), after.end(), [&before](expert e) {
        return std::find(before.begin(), before.end(), e) == before.end();
    }));
}

} // namespace

TEST_GROUP(even_planner){};

TEST(even_planner, copies_share_an_experts_tokens_evenly)
{
    // Rank 0 processes half of the tokens of expert 0 and all tokens of expert 1.
    const layer_layout layer{{0, 1}, {0}};
    DOUBLES_EQUAL((0.4 + 0.2) / 0.5, layer_skew(layer, {0.8, 0.2}), 1e-9);
    DOUBLES_EQUAL(1, layer_skew(layer, {0, 0}), 1e-9);
}

TEST(even_planner, initial_layout_assigns_experts_round_robin)
{
    const layout initial = initial_layout(shape);
    LONGS_EQUAL(2, initial.size());
    CHECK(initial[0][1] == std::vector<expert>({1, 13, 25, 37, 49, 61}));
}

TEST(even_planner, heavy_expert_gets_copies)
{
    const layout initial = initial_layout(shape);
    const expert_counts shares(2, skewed_shares(72, 1.1, 3));
    const std::optional<layout_plan> plan =
        plan_layout(initial, shares, {}, shape, planner_costs{});
    CHECK(plan.has_value());
    CHECK(plan->skew_before > 2);
    // This is only the first of several switches.
    CHECK(plan->skew_after < 0.7 * plan->skew_before);
    CHECK(plan->net_gain.count() > 0);
}

TEST(even_planner, repeated_switches_balance_the_load)
{
    layout current = initial_layout(shape);
    const expert_counts shares(2, skewed_shares(72, 1.1, 3));
    int switches = 0;
    std::optional<layout_plan> plan = plan_layout(current, shares, {}, shape, planner_costs{});
    while (plan && switches < 10) {
        current = plan->experts;
        ++switches;
        plan = plan_layout(current, shares, {}, shape, planner_costs{});
    }
    CHECK(layout_skew(current, shares) < 1.15);
    CHECK(switches <= 4);
}

TEST(even_planner, nothing_is_planned_when_costs_exceed_the_gain)
{
    const layout initial = initial_layout(shape);
    const expert_counts even(2, std::vector<double>(72, 1.0 / 72));
    CHECK(!plan_layout(initial, even, {}, shape, planner_costs{}).has_value());
    planner_costs slow;
    slow.copy_time = std::chrono::duration<double>(10);
    const expert_counts shares(2, skewed_shares(72, 1.1, 3));
    CHECK(!plan_layout(initial, shares, {}, shape, slow).has_value());
}

TEST(even_planner, layouts_satisfy_the_limits_of_the_engines)
{
    CHECK_PROPERTY("any shares give a layout that every engine takes", [] {
        const std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
        const double exponent = static_cast<double>(*rc::gen::inRange(0, 25)) / 10;
        layout current = initial_layout(shape);
        // Several plans in a row, so that the current layout is arbitrary.
        for (std::uint64_t round = 0; round < 4; ++round) {
            const std::size_t limit = *rc::gen::inRange<std::size_t>(1, 7);
            const expert_counts shares{skewed_shares(72, exponent, seed + round),
                                       skewed_shares(72, exponent, seed + 100 + round)};
            const layout next = improve_layout(current, shares, {}, shape, limit);
            std::vector<std::size_t> copies(shape.ranks);
            for (std::size_t l = 0; l < next.size(); ++l) {
                std::set<expert> held_by_any_rank;
                for (std::size_t r = 0; r < next[l].size(); ++r) {
                    const std::set<expert> on_rank(next[l][r].begin(), next[l][r].end());
                    RC_ASSERT(on_rank.size() == next[l][r].size());
                    RC_ASSERT(on_rank.size() <= shape.expert_slots_per_rank);
                    RC_ASSERT(count_new(current[l][r], next[l][r]) <= shape.new_per_rank);
                    copies[r] += count_new(current[l][r], next[l][r]);
                    held_by_any_rank.insert(on_rank.begin(), on_rank.end());
                }
                RC_ASSERT(held_by_any_rank.size() == shape.experts);
                RC_ASSERT(layer_skew(next[l], shares[l]) <=
                          layer_skew(current[l], shares[l]) + 1e-9);
            }
            RC_ASSERT((*std::max_element(copies.begin(), copies.end()) <= limit));
            current = next;
        }
    });
}

// At 129 ranks, 16 layers and 258 experts a plan took the thread of the leader for more than a
// second, so that its members took the leader for lost.
TEST(even_planner, a_plan_of_a_large_group_is_made_in_bounded_steps)
{
    const layout_shape large{129, 16, 258, 3, 1};
    expert_counts shares;
    for (std::uint64_t layer = 0; layer < large.layers; ++layer) {
        shares.push_back(skewed_shares(large.experts, 0.9, layer));
    }
    const layout initial = initial_layout(large);
    const std::optional<layout_plan> at_once =
        plan_layout(initial, shares, {}, large, planner_costs{});
    layout_planner planner(initial, shares, {}, large, planner_costs{});
    std::size_t ticks = 1;
    while (!planner.advance(planner_moves_per_tick)) {
        ++ticks;
    }
    // The leader makes a step every 20 ms, and a plan should be ready within 500 ms.
    CHECK(ticks <= 25);
    CHECK(planner.best().has_value());
    CHECK(planner.best()->experts == at_once->experts);
}

TEST(even_planner, a_slow_rank_gets_less_load)
{
    const layout_shape shape{6, 1, 24, 6, 2};
    const expert_counts even{std::vector<double>(24, 1.0 / 24)};
    std::vector<double> slowness(6, 1.0);
    slowness[2] = 3;
    layout current = initial_layout(shape);
    DOUBLES_EQUAL(3.0, layout_skew(current, even, slowness), 1e-9);
    std::optional<layout_plan> plan = plan_layout(current, even, slowness, shape, planner_costs{});
    for (int i = 0; i < 4 && plan; ++i) {
        current = plan->experts;
        plan = plan_layout(current, even, slowness, shape, planner_costs{});
    }
    CHECK(layout_skew(current, even, slowness) < 2.0);
}
