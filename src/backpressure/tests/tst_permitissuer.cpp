#include "backpressure/backpressureconstants.h"
#include "backpressure/permitissuer.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

TEST_GROUP(permit_issuers)
{
    backpressure::permit_issuer issuer;
    core::endpoint_id a{"a"};
    core::time_point now{1h};
};

TEST(permit_issuers, permits_start_at_even_intervals_after_a_burst)
{
    for (int i = 0; i < backpressure::max_permit_burst; ++i) {
        CHECK(issuer.issue(a, 4, 1s, {}, now).starts_in == 0ms);
    }
    CHECK(issuer.issue(a, 4, 1s, {}, now).starts_in == 250ms);
    CHECK(issuer.issue(a, 4, 1s, {}, now + 100ms).starts_in == 400ms);
    CHECK(!issuer.issue(a, 4, 1s, {}, now + 100ms).granted);
}

TEST(permit_issuers, permits_accumulate_up_to_the_burst)
{
    int granted = 0;
    for (int i = 0; i < 20; ++i) {
        granted += issuer.issue(a, 2, 0ms, {}, now).granted ? 1 : 0;
    }
    LONGS_EQUAL(backpressure::max_permit_burst, granted);
    now += 10s;
    while (issuer.issue(a, 2, 0ms, {}, now).granted) {
        ++granted;
    }
    LONGS_EQUAL(2 * backpressure::max_permit_burst, granted);
}

TEST(permit_issuers, permit_is_refused_if_it_starts_too_late)
{
    while (issuer.issue(a, 4, 0ms, {}, now).granted) {
    }
    CHECK(!issuer.issue(a, 4, 100ms, {}, now).granted);
    CHECK(issuer.issue(a, 4, 250ms, {}, now).granted);
}

TEST(permit_issuers, refused_entries_are_told_successive_times)
{
    while (issuer.issue(a, 1, 0ms, {}, now).granted) {
    }
    CHECK(issuer.issue(a, 1, 0ms, {}, now).starts_in == 2s);
    CHECK(issuer.issue(a, 1, 0ms, {}, now).starts_in == 3s);
    CHECK(issuer.issue(a, 0.001, 0ms, {}, now).starts_in == backpressure::max_permit_retry);
}

// Two owners of an endpoint's permits, one after the other, issued a burst each.
TEST(permit_issuers, new_owner_issues_another_burst)
{
    CHECK(!issuer.issue(a, 2, 100ms, now, now).granted);
    now += 500ms;
    CHECK(issuer.issue(a, 2, 0ms, now - 500ms, now).granted);
    CHECK(!issuer.issue(a, 2, 0ms, now - 500ms, now).granted);
}
