#include "expertmaps/expertmap.h"

#include "support/rapidcheck.h"

#include <numeric>

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::expertmaps;

namespace {

map_shape random_shape()
{
    map_shape shape;
    shape.ranks = *rc::gen::inRange(1U, 12U);
    shape.experts = *rc::gen::inRange(1U, 24U);
    const std::uint32_t needed = (shape.experts + shape.ranks - 1) / shape.ranks;
    shape.slots_per_rank = needed + *rc::gen::inRange(0U, 3U);
    return shape;
}

std::vector<double> random_tokens(std::uint32_t experts)
{
    std::vector<double> tokens(experts);
    for (double& t : tokens) {
        t = *rc::gen::inRange(0, 1000);
    }
    return tokens;
}

} // namespace

TEST_GROUP(maps){};

TEST(maps, initial_maps_are_valid)
{
    CHECK_PROPERTY("initial maps", [] {
        const map_shape shape = random_shape();
        RC_ASSERT(validate(initial_map(shape), shape).empty());
    });
}

TEST(maps, balancing_keeps_maps_valid_and_never_increases_the_slowest_rank_time)
{
    CHECK_PROPERTY("balancing", [] {
        const map_shape shape = random_shape();
        const std::vector<double> tokens = random_tokens(shape.experts);
        expert_map map = initial_map(shape);
        const std::vector<double> before = rank_times(map, tokens, {});
        balance_weights(map, tokens, {});
        RC_ASSERT(validate(map, shape).empty());
        const std::vector<double> after = rank_times(map, tokens, {});
        const double total = std::accumulate(tokens.begin(), tokens.end(), 0.0);
        RC_ASSERT(std::abs(std::accumulate(after.begin(), after.end(), 0.0) - total) <
                  1e-6 * (total + 1));
        RC_ASSERT(*std::max_element(after.begin(), after.end()) <=
                  *std::max_element(before.begin(), before.end()) + 1e-6);
    });
}

TEST(maps, slow_rank_gets_fewer_tokens)
{
    expert_map map = initial_map({2, 1, 1});
    LONGS_EQUAL(1, map.ranks[1].size());
    balance_weights(map, {100}, {1, 0.25});
    DOUBLES_EQUAL(0.8, map.ranks[0][0].weight, 1e-9);
    DOUBLES_EQUAL(0.2, map.ranks[1][0].weight, 1e-9);
}

TEST(maps, invalid_maps_have_findings)
{
    const map_shape shape{2, 2, 2};
    expert_map map = initial_map(shape);
    map.ranks[0][0].weight = std::nan("");
    map.ranks[1].push_back({9, 0});
    map.ranks[1].push_back(map.ranks[1][0]);
    CHECK(validate(map, shape).size() >= 4);
    CHECK(!validate(expert_map{}, shape).empty());
}
