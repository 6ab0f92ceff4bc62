#include "flowsite.h"

using namespace currantpitch;
using namespace currantpitch::testing;

namespace {

struct crashing_site : flow_site {
    /// The endpoint ends when it has begun to answer the next request.
    static void let_crash(scripted_endpoint& e)
    {
        e.replies = {{stream_head("7"), reply::after_reply::crash}};
    }
    void send(const std::string& parts)
    {
        answer.clear();
        send_request("Parts: " + parts + "\r\n");
    }
};

} // namespace

TEST_GROUP_BASE(crashing_parts, crashing_site){};

// Requests of one kind must not crash one endpoint after the other.
TEST(crashing_parts, requests_with_a_part_that_crashed_an_endpoint_do_not_reach_another)
{
    configure(routes::retry_policy::resumable_stream);
    a.replies = {{stream_head("7") + events(1, 1) + "0\r\n\r\n"}};
    send("sound");
    LONGS_EQUAL(200, status());
    let_crash(a);
    send("sound,bad");
    LONGS_EQUAL(502, status());
    LONGS_EQUAL(0, b.received_requests.size());
    send("sound,bad");
    LONGS_EQUAL(503, status());
    LONGS_EQUAL(0, b.received_requests.size());
}

TEST(crashing_parts, sound_requests_that_share_other_parts_are_served)
{
    configure(routes::retry_policy::resumable_stream);
    let_crash(a);
    send("sound,bad");
    b.replies = {{stream_head("7") + events(1, 1) + "0\r\n\r\n"}};
    send("sound,other");
    LONGS_EQUAL(200, status());
    send("sound,bad");
    LONGS_EQUAL(503, status());
}

TEST(crashing_parts, answer_that_an_endpoint_loses_is_no_evidence_against_its_request)
{
    configure(routes::retry_policy::resumable_stream);
    a.replies = {{stream_head("7"), reply::after_reply::reset}};
    b.replies = {{stream_head("7") + events(1, 1) + "0\r\n\r\n"}};
    send("part");
    LONGS_EQUAL(200, status());
    LONGS_EQUAL(1, b.received_requests.size());
}

TEST(crashing_parts, stream_that_had_begun_is_repeated_after_a_crash)
{
    configure(routes::retry_policy::resumable_stream);
    a.replies = {{stream_head("7") + events(1, 2), reply::after_reply::crash}};
    b.replies = {{stream_head("7") + events(3, 3) + "0\r\n\r\n"}};
    send("part");
    LONGS_EQUAL(200, status());
    CHECK(ends_with_last_chunk());
}
