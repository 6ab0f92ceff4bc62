#include "soak/coldchecker.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::soak;
using namespace std::chrono_literals;

TEST_GROUP(cold_checkers){};

TEST(cold_checkers, too_many_requests_within_a_second_of_the_cold_time_are_found)
{
    const core::endpoint_id cold("plain-0-2");
    const core::time_point t0 = core::runtime_clock::now();
    cold_checker checker;
    checker.on_cold(cold, 2, t0, t0 + 3s);
    CHECK(checker.on_arrival(core::endpoint_id("other"), t0).empty());
    CHECK(checker.on_arrival(cold, t0).empty());
    CHECK(checker.on_arrival(cold, t0 + 900ms).empty());
    CHECK(checker.on_arrival(cold, t0 + 1000ms).empty());
    CHECK(!checker.on_arrival(cold, t0 + 1800ms).empty());
    CHECK(checker.on_arrival(cold, t0 + 3s).empty());
    LONGS_EQUAL(4, checker.requests());
    LONGS_EQUAL(3, checker.most_in_a_second());
}
