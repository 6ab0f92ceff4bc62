#include "expertmaps/expertmapsconstants.h"
#include "expertmaps/planner.h"
#include "expertmaps/popularity.h"
#include "expertmaps/samplecollector.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::expertmaps;
using namespace std::chrono_literals;

namespace {

const core::time_point start{1h};

popularity_estimate estimate_of(std::vector<double> shares, std::size_t ranks)
{
    return {std::move(shares), std::vector<double>(ranks, 1.0), false, start};
}

std::vector<double> skewed_shares(std::size_t experts, std::size_t hottest)
{
    std::vector<double> shares(experts);
    double total = 0;
    for (std::size_t i = 0; i < experts; ++i) {
        shares[(i + hottest) % experts] = 1.0 / static_cast<double>(i + 1);
        total += 1.0 / static_cast<double>(i + 1);
    }
    for (double& s : shares) {
        s /= total;
    }
    return shares;
}

planner_options options_of(double skew_weight, double move_weight)
{
    planner_options o;
    o.shape = {16, 32, 4};
    o.skew_weight = skew_weight;
    o.move_weight = move_weight;
    o.replica_bytes = 1e9;
    return o;
}

} // namespace

TEST_GROUP(plans)
{
    expert_map initial = initial_map({16, 32, 4});
};

TEST(plans, first_plan_balances_and_the_next_moves_nothing)
{
    planner p(options_of(4, 1));
    const popularity_estimate e = estimate_of(skewed_shares(32, 0), 16);
    const plan first = p.make(initial, e, start);
    CHECK(first.reason == plan_reason::moved);
    CHECK(first.skew_after < 1.05);
    const plan second = p.make(first.map, e, start + 10s);
    LONGS_EQUAL(0, second.moved);
}

TEST(plans, stale_input_moves_nothing)
{
    planner p(options_of(4, 1));
    const plan unchanged = p.make(initial, std::nullopt, start);
    CHECK(unchanged.reason == plan_reason::stale_input);
    CHECK(unchanged.map == initial);
}

TEST(plans, moves_are_not_made_when_they_cost_too_much)
{
    planner_options expensive = options_of(0.001, 1000);
    planner p(expensive);
    const plan unchanged = p.make(initial, estimate_of(skewed_shares(32, 0), 16), start);
    LONGS_EQUAL(0, unchanged.moved);
    CHECK(unchanged.reason == plan_reason::cost_exceeds_gain ||
          unchanged.reason == plan_reason::reweighted);
}

TEST(plans, budget_limits_the_moved_bytes)
{
    planner_options o = options_of(4, 1);
    o.budget_bytes_per_hour = 2e9;
    planner p(o);
    const plan first = p.make(initial, estimate_of(skewed_shares(32, 0), 16), start);
    double spent = 0;
    expert_map map = first.map;
    for (int i = 1; i <= 6; ++i) {
        const std::size_t hottest = static_cast<std::size_t>(i) * 5;
        const plan next = p.make(map, estimate_of(skewed_shares(32, hottest), 16), start + 10s * i);
        spent += next.moved_bytes;
        map = next.map;
    }
    CHECK(spent <= 2e9 + 60.0 / 3600 * 2e9);
}

TEST(plans, zero_weights_give_a_valid_plan_without_moves)
{
    planner p(options_of(0, 0));
    const plan unchanged = p.make(initial, estimate_of(skewed_shares(32, 0), 16), start);
    LONGS_EQUAL(0, unchanged.moved);
    CHECK(validate(unchanged.map, {16, 32, 4}).empty());
}

TEST(plans, every_plan_is_a_valid_map)
{
    CHECK_PROPERTY("valid plans", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const map_shape shape{4, 8, 3};
        planner_options o;
        o.shape = shape;
        o.replica_bytes = static_cast<double>(random() % 1000000000);
        planner p(o);
        expert_map map = initial_map(shape);
        for (int i = 0; i < 6; ++i) {
            popularity_estimate e = estimate_of(std::vector<double>(8, 0), 4);
            double total = 0;
            for (double& s : e.expert_share) {
                s = static_cast<double>(random() % 3 == 0 ? 0 : random() % 1000) + 1e-6;
                total += s;
            }
            for (double& s : e.expert_share) {
                s /= total;
            }
            e.burst = random() % 2 == 0;
            const plan next = p.make(map, e, start + 10s * i);
            RC_ASSERT(validate(next.map, shape).empty());
            RC_ASSERT(next.skew_after <= next.skew_before + 1e-6);
            RC_ASSERT(moved_replicas(map, next.map) == next.moved);
            map = next.map;
        }
    });
}

TEST_GROUP(popularity)
{
    popularity_tracker tracker{4, 2};

    group_sample sample(std::vector<double> tokens, core::time_point at)
    {
        return {at, std::move(tokens), {}, {}};
    }
};

TEST(popularity, burst_replaces_the_mean_and_noise_does_not)
{
    for (int i = 1; i <= 10; ++i) {
        CHECK(
            tracker.add(sample({100, 100, 100, 100}, start + 1s * i), start + 1s * i).has_value());
    }
    CHECK(tracker.add(sample({104, 97, 101, 98}, start + 11s), start + 11s).has_value());
    CHECK(!tracker.estimate(start + 11s)->burst);
    CHECK(tracker.add(sample({1000, 10, 10, 10}, start + 12s), start + 12s).has_value());
    const popularity_estimate e = *tracker.estimate(start + 12s);
    CHECK(e.burst);
    CHECK(e.expert_share[0] > 0.6);
}

TEST(popularity, old_reports_give_no_estimate)
{
    CHECK(!tracker.estimate(start).has_value());
    CHECK(tracker.add(sample({1, 1, 1, 1}, start), start).has_value());
    CHECK(tracker.estimate(start + max_report_age).has_value());
    CHECK(!tracker.estimate(start + max_report_age + 1s).has_value());
}

TEST(popularity, slow_host_is_distinguished_from_a_hot_expert)
{
    for (int i = 1; i <= 20; ++i) {
        group_sample s = sample({400, 100, 100, 100}, start + 1s * i);
        // The first rank processes 100 tokens per ms and the second 50 tokens per ms.
        s.rank_tokens = {500, 200};
        s.rank_step_times = {5ms, 4ms};
        CHECK(tracker.add(s, start + 1s * i).has_value());
    }
    const popularity_estimate e = *tracker.estimate(start + 20s);
    DOUBLES_EQUAL(2.0, e.rank_speed[0] / e.rank_speed[1], 0.05);
}

TEST(popularity, invalid_reports_are_counted_and_ignored)
{
    CHECK_PROPERTY("impossible reports", [](std::uint8_t which, double figure) {
        popularity_tracker t(2, 1);
        group_sample s{start, {1, 1}, {}, {}};
        switch (which % 6) {
        case 0:
            s.expert_tokens = {1};
            break;
        case 1:
            s.expert_tokens[0] = -std::abs(figure) - 1;
            break;
        case 2:
            s.expert_tokens[1] = std::nan("");
            break;
        case 3:
            s.expert_tokens[1] = 1e300;
            break;
        case 4:
            s.at = start + 1h;
            break;
        default:
            s.rank_tokens = {1, 2, 3};
            break;
        }
        RC_ASSERT(t.add(s, start).has_error());
        RC_ASSERT(t.rejected() == 1U);
        RC_ASSERT(!t.estimate(start).has_value());
    });
}
