#include "flowsite.h"

using namespace currantpitch;
using namespace currantpitch::testing;

namespace {

struct stopping_site : flow_site {
    void begin_stop(std::chrono::milliseconds time_left)
    {
        shared.stopping = true;
        shared.stop_deadline = core::runtime_clock::now() + time_left;
    }
    /// Begins a stop of 400 ms while the next request runs.
    void begin_stop_meanwhile()
    {
        core::spawn(context.get_executor(), [](stopping_site& site) -> core::task<void> {
            co_await core::sleep_for(50ms);
            site.begin_stop(400ms);
        }(*this));
    }
};

} // namespace

TEST_GROUP_BASE(planned_stops, stopping_site){};

// A request that is taken long after the stop began must not be cut when the process ends.
TEST(planned_stops, request_that_may_outlast_the_stop_is_refused_and_not_run)
{
    configure(routes::retry_policy::resumable_stream, 1500ms);
    begin_stop(1400ms);
    a.replies = {{stream_head("7") + events(1, 1) + "0\r\n\r\n"}};
    send_request();
    LONGS_EQUAL(503, status());
    LONGS_EQUAL(0, received_requests());
    CHECK(answer.find("Connection: close") != std::string::npos);
}

TEST(planned_stops, request_that_ends_before_the_stop_is_served)
{
    configure(routes::retry_policy::resumable_stream, 1500ms);
    begin_stop(1600ms);
    a.replies = {{stream_head("7") + events(1, 1) + "0\r\n\r\n"}};
    send_request();
    LONGS_EQUAL(200, status());
    CHECK(ends_with_last_chunk());
}

TEST(planned_stops, request_is_served_while_addresses_of_the_entry_may_still_be_in_use)
{
    configure(routes::retry_policy::resumable_stream, 1500ms);
    shared.stopping = true;
    a.replies = {{stream_head("7") + events(1, 1) + "0\r\n\r\n"}};
    send_request();
    LONGS_EQUAL(200, status());
    CHECK(ends_with_last_chunk());
}

// Requests that were taken in the grace period were cut with no answer when it ended.
TEST(planned_stops, request_that_still_runs_at_the_end_of_the_stop_is_answered)
{
    for (const routes::retry_policy retry :
         {routes::retry_policy::at_most_once, routes::retry_policy::idempotent}) {
        configure(retry, 1500ms);
        answer.clear();
        shared.stopping = false;
        shared.stop_deadline.reset();
        a.replies = {{"", reply::after_reply::hang}};
        b.replies = {{"", reply::after_reply::hang}};
        begin_stop_meanwhile();
        const core::time_point sent_at = core::runtime_clock::now();
        send_request();
        LONGS_EQUAL(504, status());
        CHECK(core::runtime_clock::now() - sent_at < 700ms);
    }
}

TEST(planned_stops, stream_that_still_runs_at_the_end_of_the_stop_does_not_look_complete)
{
    configure(routes::retry_policy::one_shot_stream, 1500ms);
    a.replies = {{stream_head("7") + events(1, 1), reply::after_reply::hang}};
    begin_stop_meanwhile();
    const core::time_point sent_at = core::runtime_clock::now();
    send_request();
    CHECK(core::runtime_clock::now() - sent_at < 700ms);
    LONGS_EQUAL(200, status());
    CHECK(!ends_with_last_chunk());
}

TEST(planned_stops, request_that_may_outlast_the_stop_is_taken_early_in_it)
{
    configure(routes::retry_policy::at_most_once, 1500ms);
    begin_stop(1400ms);
    shared.stop_refuses_from = core::runtime_clock::now() + 300ms;
    a.replies = {{full_answer("7", "whole")}};
    send_request();
    LONGS_EQUAL(200, status());
    answer.clear();
    context.restart();
    context.run_for(300ms);
    send_request();
    LONGS_EQUAL(503, status());
    LONGS_EQUAL(1, received_requests());
}
