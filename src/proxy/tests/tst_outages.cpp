#include "flowsite.h"

using namespace currantpitch;
using namespace currantpitch::testing;

namespace {

struct outage_site : flow_site {
    overload::outage& outage() { return shared.service(service).outage; }
    /// Both endpoints have refused requests of a stream service just now.
    void go_down(routes::retry_policy retry = routes::retry_policy::resumable_stream)
    {
        configure(retry);
        outage().on_refused(core::endpoint_id("a"), core::runtime_clock::now());
        outage().on_refused(core::endpoint_id("b"), core::runtime_clock::now());
    }
    void remember_short_outage()
    {
        const core::time_point before = core::runtime_clock::now() - 2s;
        outage().on_refused(core::endpoint_id("a"), before);
        outage().on_refused(core::endpoint_id("b"), before);
        outage().on_progress(before + 500ms);
    }
};

const std::string refused = full_answer("7", "", 503, "Not-Run: 1\r\n");

} // namespace

TEST_GROUP_BASE(service_outages, outage_site){};

// Requests were refused at once while a group re-formed, although their callers stayed for seconds.
TEST(service_outages, request_waits_for_a_service_that_comes_back_in_time)
{
    remember_short_outage();
    go_down();
    a.replies = {{refused}};
    b.replies = {{stream_head("7") + events(0, 2) + "0\r\n\r\n"}};
    const core::time_point sent_at = core::runtime_clock::now();
    send_request();
    LONGS_EQUAL(200, status());
    CHECK(ends_with_last_chunk());
    // A probe after one interval, and the next one after another.
    CHECK(core::runtime_clock::now() - sent_at >= 450ms);
    CHECK(!outage().suspected());
    LONGS_EQUAL(0, outage().waiting());
}

TEST(service_outages, request_is_refused_at_once_if_the_service_is_not_expected_back)
{
    go_down();
    const core::time_point sent_at = core::runtime_clock::now();
    send_request();
    LONGS_EQUAL(503, status());
    CHECK(answer.ends_with("outage"));
    CHECK(core::runtime_clock::now() - sent_at < 1s);
    LONGS_EQUAL(0, received_requests());
    CHECK(outage().retry_after(sent_at) >= 2s);
}

// Requests that are no streams do not depend on a group.
TEST(service_outages, requests_without_a_stream_do_not_wait)
{
    go_down(routes::retry_policy::at_most_once);
    a.replies = {{full_answer("7", "text")}};
    send_request();
    LONGS_EQUAL(200, status());
}
