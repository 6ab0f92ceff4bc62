#include "rankcontrol/demandtracker.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;
using rankcontrol::demand_tracker;

namespace {

const rankcontrol::layout_shape shape{2, 1, 3, 3, 1};

} // namespace

TEST_GROUP(demand)
{
    demand_tracker tracker{shape};
};

TEST(demand, shares_follow_the_counts)
{
    CHECK(tracker.shares().empty());
    CHECK(tracker.add({{10, 20, 10}}));
    CHECK(tracker.add({{10, 20, 10}}));
    tracker.advance(250ms);
    DOUBLES_EQUAL(0.5, tracker.shares()[0][1], 1e-9);
    DOUBLES_EQUAL(80, tracker.last_tokens(), 1e-9);
}

TEST(demand, counts_of_another_shape_are_ignored)
{
    CHECK(!tracker.add({{1, 2}}));
    CHECK(!tracker.add({}));
    tracker.advance(250ms);
    CHECK(tracker.shares().empty());
}

TEST(demand, noise_is_smoothed)
{
    for (int i = 0; i < 20; ++i) {
        tracker.add({{100, 200, 100}});
        tracker.advance(250ms);
    }
    tracker.add({{130, 170, 100}});
    tracker.advance(250ms);
    CHECK(tracker.last_distance() < rankcontrol::demand_shift_threshold);
    CHECK(tracker.shares()[0][1] > 0.47);
}

TEST(demand, shift_replaces_the_tracked_counts)
{
    for (int i = 0; i < 20; ++i) {
        tracker.add({{100, 200, 100}});
        tracker.advance(250ms);
    }
    tracker.add({{350, 25, 25}});
    tracker.advance(250ms);
    CHECK(tracker.last_distance() >= rankcontrol::demand_shift_threshold);
    CHECK(tracker.shares()[0][0] > 0.65);
}

TEST(demand, an_idle_group_retains_the_shares)
{
    tracker.add({{100, 200, 100}});
    tracker.advance(250ms);
    for (int i = 0; i < 100; ++i) {
        tracker.advance(250ms);
    }
    DOUBLES_EQUAL(0.5, tracker.shares()[0][1], 1e-9);
    DOUBLES_EQUAL(0, tracker.last_tokens(), 1e-9);
}
