#include "overload/returnschedule.h"

#include "CppUTest/TestHarness.h"

#include <set>

using namespace currantpitch;
using namespace std::chrono_literals;

TEST_GROUP(return_schedules)
{
    overload::return_schedule returns{1};
    core::time_point now{1h};
};

// All refused callers came back after 200 ms, together.
TEST(return_schedules, callers_return_one_after_another_and_more_urgent_ones_first)
{
    CHECK(returns.delay(1, 2, 10, now) == 300ms);
    CHECK(returns.delay(1, 2, 10, now) == 400ms);
    CHECK(returns.delay(0, 0, 10, now) == 200ms);
    CHECK(returns.delay(2, 0, 10, now) == 500ms);
    CHECK(returns.delay(1, 0, 10, now + 2s) == 200ms);
}

TEST(return_schedules, more_callers_than_slots_are_spread_within_the_bounds)
{
    std::set<std::int64_t> delays;
    for (int i = 0; i < 100; ++i) {
        const std::chrono::milliseconds delay = returns.delay(0, 5, 1, now);
        CHECK(delay >= 200ms && delay <= 2s);
        delays.insert(delay.count());
    }
    CHECK(delays.size() > 50);
    CHECK(returns.delay(0, 0, 0, now) <= 2s);
}
