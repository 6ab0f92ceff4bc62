#include "overload/waitpolicy.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;

TEST_GROUP(wait_policies){};

// Requests waited in queues that could not be served before their deadlines.
TEST(wait_policies, requests_wait_only_behind_a_queue_that_can_be_served)
{
    CHECK(overload::may_start_in_time(0, 0));
    CHECK(!overload::may_start_in_time(1, 0));
    CHECK(overload::may_start_in_time(8, 4));
    CHECK(!overload::may_start_in_time(9, 4));
}
