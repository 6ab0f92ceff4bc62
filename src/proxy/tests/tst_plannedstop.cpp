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
