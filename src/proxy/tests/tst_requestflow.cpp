#include "flowsite.h"

using namespace currantpitch;
using namespace currantpitch::testing;

TEST_GROUP_BASE(request_flows, flow_site){};

TEST(request_flows, answer_is_forwarded_unchanged)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{full_answer("7", "text")}};
    send_request();
    LONGS_EQUAL(200, status());
    CHECK(answer.find("Genuine: 1") != std::string::npos);
    CHECK(answer.ends_with("\r\n\r\ntext"));
}

TEST(request_flows, refused_connection_is_always_retried)
{
    configure(routes::retry_policy::at_most_once);
    a.stop_listening();
    b.replies = {{full_answer("7", "text")}};
    send_request();
    LONGS_EQUAL(200, status());
}

TEST(request_flows, request_that_an_endpoint_did_not_run_is_retried)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{full_answer("7", "", 503, "Not-Run: 1\r\n")}};
    b.replies = {{full_answer("7", "text")}};
    send_request();
    LONGS_EQUAL(200, status());
    LONGS_EQUAL(2, received_requests());
}

TEST(request_flows, request_is_refused_if_no_endpoint_ran_it)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{full_answer("7", "", 503, "Not-Run: 1\r\n")}};
    b.replies = {{full_answer("7", "", 503, "Not-Run: 1\r\n")}};
    send_request();
    LONGS_EQUAL(503, status());
}

TEST(request_flows, reset_after_sending_is_not_retried_for_at_most_once)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{"", reply::after_reply::reset}};
    send_request();
    LONGS_EQUAL(502, status());
    LONGS_EQUAL(1, received_requests());
}

TEST(request_flows, reset_after_sending_is_retried_for_idempotent)
{
    configure(routes::retry_policy::idempotent);
    a.replies = {{"", reply::after_reply::reset}};
    b.replies = {{full_answer("7", "text")}};
    send_request();
    LONGS_EQUAL(200, status());
}

TEST(request_flows, malformed_answer_is_not_forwarded)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{"this is no answer\r\n\r\n", reply::after_reply::close}};
    send_request();
    LONGS_EQUAL(502, status());
}

TEST(request_flows, answer_that_is_not_genuine_is_not_forwarded)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{full_answer("7", "text", 200, "")}};
    send_request();
    LONGS_EQUAL(502, status());
    CHECK(answer.find("text") == std::string::npos);
}

// Guards against a head above 64 KiB that the proxy reads and cannot pass on (review case 7).
TEST(request_flows, long_head_reaches_the_endpoint)
{
    limits.header_bytes = 262'144;
    configure(routes::retry_policy::at_most_once);
    a.replies = {{full_answer("7", "text")}};
    const std::string target = "/" + std::string(75'000, 't');
    send_request("Parts: " + std::string(75'000, 'x') + "\r\n", target);
    LONGS_EQUAL(200, status());
    CHECK(a.received_requests.at(0).find(target) != std::string::npos);
}

// Bytes that are no answer may come without end. What the process keeps of them is bounded, and the
// caller is told before its own timeout.
// A host of a group stood still for four seconds. Streams were sent to a second rank, which read
// them when their callers had left.
TEST(request_flows, truncated_answer_is_not_forwarded)
{
    configure(routes::retry_policy::idempotent);
    a.replies = {
        {head("7", "Genuine: 1\r\nContent-Length: 100\r\n\r\nhalf"), reply::after_reply::close}};
    b.replies = {{full_answer("7", "text")}};
    send_request();
    CHECK(answer.ends_with("\r\n\r\ntext"));
}

TEST(request_flows, answer_without_a_length_is_complete_only_after_an_orderly_close)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{head("7", "Genuine: 1\r\n\r\ntext"), reply::after_reply::close}};
    send_request();
    LONGS_EQUAL(200, status());
    answer.clear();
    a.replies = {{head("7", "Genuine: 1\r\n\r\ntext"), reply::after_reply::reset}};
    send_request();
    LONGS_EQUAL(502, status());
}

TEST(request_flows, answer_to_another_request_is_skipped)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{full_answer("6", "not mine") + full_answer("7", "mine")}};
    send_request();
    CHECK(answer.ends_with("\r\n\r\nmine"));
}

TEST(request_flows, endpoint_failure_is_forwarded_with_its_status)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{full_answer("7", "broken", 500)}};
    send_request();
    LONGS_EQUAL(500, status());
    CHECK(answer.find("Genuine: 1") != std::string::npos);
}

TEST(request_flows, endpoint_failure_is_forwarded_if_the_retry_gets_no_answer)
{
    configure(routes::retry_policy::idempotent);
    a.replies = {{full_answer("7", "broken", 500)}};
    b.replies = {{"", reply::after_reply::reset}};
    send_request();
    LONGS_EQUAL(500, status());
    CHECK(answer.ends_with("\r\n\r\nbroken"));
    LONGS_EQUAL(2, received_requests());
}

TEST(request_flows, idempotent_request_is_retried_after_the_answer_timeout)
{
    configure(routes::retry_policy::idempotent);
    a.replies = {{"", reply::after_reply::hang}};
    b.replies = {{full_answer("7", "text")}};
    send_request();
    LONGS_EQUAL(200, status());
}

TEST(request_flows, expired_deadline_is_reported_with_504)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{"", reply::after_reply::hang}};
    const core::time_point began = core::runtime_clock::now();
    send_request();
    LONGS_EQUAL(504, status());
    CHECK(core::runtime_clock::now() - began < 2000ms);
}

TEST(request_flows, broken_stream_is_resumed_after_the_last_event)
{
    configure(routes::retry_policy::resumable_stream);
    a.replies = {{stream_head("7") + events(0, 2) + "10\r\nid: 3\nda", reply::after_reply::reset}};
    b.replies = {{stream_head("7") + events(3, 4) + "0\r\n\r\n"}};
    send_request();
    CHECK(ends_with_last_chunk());
    CHECK(b.received_requests.front().find("Last: 2") != std::string::npos);
    std::size_t place = 0;
    for (int i = 0; i <= 4; ++i) {
        place = answer.find("id: " + std::to_string(i) + "\ndata: x", place);
        CHECK(place != std::string::npos);
    }
    CHECK(answer.find("id: 3") == answer.rfind("id: 3"));
}

// A request may hold a slot at the endpoint when its failure domain is evacuated.
TEST(request_flows, slot_at_an_endpoint_that_is_evacuated_meanwhile_is_not_used)
{
    configure(routes::retry_policy::at_most_once);
    shared.endpoints.set_evacuated({core::failure_domain_id("fd")});
    b.replies = {{full_answer("7", "text")}};
    send_request();
    CHECK(answer.ends_with("text"));
    LONGS_EQUAL(0, a.received_requests.size());
}

TEST(request_flows, broken_stream_is_not_resumed_in_an_evacuated_failure_domain)
{
    configure(routes::retry_policy::resumable_stream);
    a.replies = {{stream_head("7") + events(0, 2), reply::after_reply::reset}};
    shared.endpoints.set_evacuated({core::failure_domain_id("other")});
    send_request();
    CHECK(answer.find("id: 2\ndata: x") != std::string::npos);
    CHECK(!ends_with_last_chunk());
    LONGS_EQUAL(0, b.received_requests.size());
}

TEST(request_flows, request_is_refused_at_once_if_all_endpoints_are_evacuated)
{
    configure(routes::retry_policy::idempotent);
    shared.endpoints.set_evacuated(
        {core::failure_domain_id("fd"), core::failure_domain_id("other")});
    shared.apply_endpoints();
    const core::time_point sent_at = core::runtime_clock::now();
    send_request();
    LONGS_EQUAL(503, status());
    CHECK(answer.ends_with("no_endpoint"));
    CHECK(core::runtime_clock::now() - sent_at < 80ms);
    LONGS_EQUAL(0, received_requests());
}

TEST(request_flows, stream_that_cannot_be_resumed_is_cut)
{
    configure(routes::retry_policy::one_shot_stream);
    a.replies = {{stream_head("7") + events(0, 2), reply::after_reply::reset}};
    send_request();
    LONGS_EQUAL(200, status());
    CHECK(!ends_with_last_chunk());
    LONGS_EQUAL(1, received_requests());
}

TEST(request_flows, stream_with_a_gap_is_cut)
{
    configure(routes::retry_policy::one_shot_stream);
    a.replies = {{stream_head("7") + events(0, 1) + events(3, 4) + "0\r\n\r\n"}};
    send_request();
    CHECK(!ends_with_last_chunk());
    CHECK(answer.find("id: 3") == std::string::npos);
}

TEST(request_flows, unknown_key_is_refused)
{
    configure(routes::retry_policy::idempotent, true);
    send_request("Key: other\r\n");
    LONGS_EQUAL(401, status());
    answer.clear();
    a.replies = {{full_answer("7", "text")}};
    send_request("Key: k\r\n");
    LONGS_EQUAL(200, status());
}

// Guards against endpoints that don't learn whose request it is once its route is public (review
// case 10).
TEST(request_flows, endpoint_of_a_public_route_learns_the_workspace_of_a_key)
{
    route_is_public = true;
    configure(routes::retry_policy::idempotent, true);
    a.replies = {{full_answer("7", "text")}, {full_answer("7", "text")}};
    send_request("Key: k\r\n");
    LONGS_EQUAL(200, status());
    CHECK(a.received_requests.at(0).find("Workspace: w") != std::string::npos);
    answer.clear();
    send_request();
    LONGS_EQUAL(200, status());
    CHECK(a.received_requests.at(1).find("Workspace:") == std::string::npos);
    answer.clear();
    send_request("Key: other\r\n");
    LONGS_EQUAL(401, status());
    LONGS_EQUAL(2, received_requests());
}

TEST(request_flows, keys_are_refused_beyond_the_maximum_configuration_age)
{
    configure(routes::retry_policy::idempotent, true);
    core::boot_clock::suspend_for(0ms);
    const core::time_point until = core::runtime_clock::now() + 1100ms;
    while (core::runtime_clock::now() < until) {
        context.run_for(100ms);
        context.restart();
    }
    send_request("Key: k\r\n");
    LONGS_EQUAL(503, status());
    LONGS_EQUAL(0, received_requests());
}

TEST(request_flows, requests_without_a_configuration_are_refused_with_503)
{
    send_request();
    LONGS_EQUAL(503, status());
}
