#include "flowsite.h"

using namespace currantpitch;
using namespace currantpitch::testing;

// Answers with neither a length nor chunks, which end with their connection.
TEST_GROUP_BASE(unframed_answers, flow_site){};

namespace {

const std::string unframed_head = head("7", "Genuine: 1\r\n\r\n");

std::string unframed_events(int from, int to)
{
    std::string out;
    for (int i = from; i <= to; ++i) {
        out += "id: " + std::to_string(i) + "\ndata: x\n\n";
    }
    return out;
}

} // namespace

TEST(unframed_answers, answer_is_complete_when_the_endpoint_closes_its_connection)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{unframed_head + "whole", reply::after_reply::close}};
    send_request();
    LONGS_EQUAL(200, status());
    CHECK(answer.ends_with("whole"));
}

TEST(unframed_answers, answer_that_is_reset_is_not_forwarded_as_complete)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{unframed_head + "half", reply::after_reply::reset}};
    send_request();
    LONGS_EQUAL(502, status());
    CHECK(answer.find("half") == std::string::npos);
}

TEST(unframed_answers, stream_is_complete_when_it_ends_between_events)
{
    configure(routes::retry_policy::resumable_stream);
    a.replies = {{unframed_head + unframed_events(1, 2), reply::after_reply::close}};
    send_request();
    LONGS_EQUAL(200, status());
    CHECK(ends_with_last_chunk());
    CHECK(b.received_requests.empty());
}

TEST(unframed_answers, stream_that_ends_inside_an_event_is_resumed)
{
    configure(routes::retry_policy::resumable_stream);
    a.replies = {{unframed_head + unframed_events(1, 1) + "id: 2\nda", reply::after_reply::close}};
    b.replies = {{stream_head("7") + events(2, 2) + "0\r\n\r\n"}};
    send_request();
    LONGS_EQUAL(1, b.received_requests.size());
    CHECK(ends_with_last_chunk());
    CHECK(answer.find("id: 2\ndata: x\n\n") != std::string::npos);
}

TEST(unframed_answers, stream_that_is_reset_does_not_look_complete)
{
    configure(routes::retry_policy::one_shot_stream);
    a.replies = {{unframed_head + unframed_events(1, 2), reply::after_reply::reset}};
    send_request();
    CHECK(!ends_with_last_chunk());
}

// An endpoint stopped in the middle of its answer's head and closed, and callers got a 200 with an
// empty or short body that was framed as whole.
TEST(unframed_answers, head_that_breaks_off_is_not_an_answer)
{
    const std::string whole_head = head("7", "Genuine: 1\r\nContent-Type: a/b\r\n"
                                             "Content-Length: 5\r\n\r\n");
    for (const routes::retry_policy retry :
         {routes::retry_policy::at_most_once, routes::retry_policy::idempotent,
          routes::retry_policy::one_shot_stream, routes::retry_policy::resumable_stream}) {
        configure(retry);
        for (std::size_t length = 0; length < whole_head.size(); ++length) {
            for (const bool kept_connection : {false, true}) {
                if (kept_connection) {
                    answer.clear();
                    // An endpoint that broke off is avoided for a while.
                    a.replies = {{full_answer("7", "first")}};
                    b.replies = {{full_answer("7", "first")}};
                    send_request();
                    CHECK(answer.ends_with("first"));
                }
                answer.clear();
                a.replies = {{whole_head.substr(0, length), reply::after_reply::close}};
                b.replies = {{whole_head.substr(0, length), reply::after_reply::close}};
                send_request();
                CHECK(status() == 502 || status() == 503 || status() == 504);
                a.replies.clear();
                b.replies.clear();
            }
        }
    }
}
