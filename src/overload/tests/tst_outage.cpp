#include "overload/outage.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

TEST_GROUP(outages)
{
    overload::outage service{1};
    core::time_point now{1h};
    const core::endpoint_id a{"a"};
    const core::endpoint_id b{"b"};

    void go_down()
    {
        service.on_progress(now);
        service.on_refused(a, now);
        service.on_refused(b, now);
        now += 150ms;
    }
};

// Endpoints that are full refuse requests while their streams go on.
TEST(outages, refusals_while_streams_progress_are_no_outage)
{
    service.on_progress(now);
    service.on_refused(a, now);
    service.on_refused(b, now);
    now += 140ms;
    CHECK(service.suspected() && !service.down(now));
    CHECK(!service.on_progress(now));
    now += 200ms;
    CHECK(!service.down(now));
    service.on_refused(a, now);
    CHECK(!service.down(now));
}

// Requests were refused at once although the group came back while their callers stayed.
TEST(outages, duration_of_earlier_outages_tells_the_expected_end)
{
    go_down();
    CHECK(service.down(now));
    CHECK(service.expected_end(now) == now - 150ms + 2500ms);
    now += 1350ms;
    CHECK(service.on_progress(now) == 1500ms);
    go_down();
    CHECK(service.expected_end(now) == now - 150ms + 1500ms);
    now += 10s;
    CHECK(service.expected_end(now) > now);
    CHECK(service.expected_end(now) < now + 1s);
}

TEST(outages, few_requests_probe_the_most_urgent_ones_first)
{
    go_down();
    CHECK(!service.try_probe(0, now));
    now += 100ms;
    service.on_waiting(1, 1);
    CHECK(!service.try_probe(2, now));
    CHECK(service.try_probe(1, now));
    CHECK(!service.try_probe(1, now));
    service.on_waiting(1, -1);
    now += 250ms;
    CHECK(service.try_probe(2, now));
}

// Callers that were refused came back while the group was still down, or all at the same time.
TEST(outages, callers_return_spread_behind_the_expected_end)
{
    go_down();
    const core::duration left = service.expected_end(now) - now;
    std::set<std::int64_t> delays;
    for (int i = 0; i < 50; ++i) {
        const std::chrono::milliseconds delay = service.retry_after(now);
        CHECK(delay >= left && delay <= left + 500ms);
        delays.insert(delay.count());
    }
    CHECK(delays.size() > 20);
}

TEST(outages, callers_stay_two_seconds_or_four_times_their_target)
{
    CHECK(overload::outage::patience(400ms) < 2s);
    CHECK(overload::outage::patience(400ms) > 1500ms);
    CHECK(overload::outage::patience(1000ms) > 3500ms);
}
