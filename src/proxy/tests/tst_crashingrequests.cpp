#include "flowsite.h"

using namespace currantpitch;
using namespace currantpitch::testing;

namespace {

struct crashing_request_site : flow_site {
    /// Both endpoints crash when they have read the next request.
    void let_both_crash()
    {
        for (scripted_endpoint* e : {&a, &b}) {
            e->replies = {{"", reply::after_reply::crash}};
        }
    }
    void restart_both()
    {
        restart(a);
        restart(b);
    }
    void send(const std::string& target)
    {
        answer.clear();
        send_request("", target);
    }
};

} // namespace

TEST_GROUP_BASE(crashing_requests, crashing_request_site){};

// A request without parts of a prompt must not crash one endpoint after the other.
TEST(crashing_requests, request_that_crashed_two_endpoints_reaches_no_third)
{
    configure(routes::retry_policy::idempotent);
    let_both_crash();
    send("/deadly");
    LONGS_EQUAL(502, status());
    LONGS_EQUAL(2, received_requests());
    restart_both();
    send("/deadly");
    LONGS_EQUAL(503, status());
    LONGS_EQUAL(2, received_requests());
}

TEST(crashing_requests, request_that_may_run_only_once_is_known_over_several_attempts_of_its_caller)
{
    configure(routes::retry_policy::at_most_once);
    let_both_crash();
    send("/deadly");
    LONGS_EQUAL(502, status());
    send("/deadly");
    LONGS_EQUAL(502, status());
    LONGS_EQUAL(2, received_requests());
    restart_both();
    send("/deadly");
    LONGS_EQUAL(503, status());
    LONGS_EQUAL(2, received_requests());
}

TEST(crashing_requests, other_requests_of_the_service_are_served)
{
    configure(routes::retry_policy::idempotent);
    let_both_crash();
    send("/deadly");
    restart_both();
    a.replies = {{full_answer("7", "whole")}};
    send("/sound");
    LONGS_EQUAL(200, status());
}

// Parts that sound requests share are no evidence against a request with them, but the request as a
// whole is.
TEST(crashing_requests, prompt_whose_parts_are_sound_is_known_as_a_whole)
{
    configure(routes::retry_policy::resumable_stream);
    a.replies = {{stream_head("7") + events(1, 1) + "0\r\n\r\n"}};
    send_request("Parts: shared\r\n", "/sound");
    LONGS_EQUAL(200, status());
    let_both_crash();
    answer.clear();
    send_request("Parts: shared\r\n", "/deadly");
    LONGS_EQUAL(502, status());
    restart_both();
    answer.clear();
    send_request("Parts: shared\r\n", "/deadly");
    LONGS_EQUAL(503, status());
    LONGS_EQUAL(3, received_requests());
}

TEST(crashing_requests, answers_that_endpoints_lose_are_no_evidence)
{
    configure(routes::retry_policy::idempotent);
    for (scripted_endpoint* e : {&a, &b}) {
        e->replies = {{"", reply::after_reply::reset}};
    }
    send("/sound");
    LONGS_EQUAL(502, status());
    a.replies = {{full_answer("7", "whole")}};
    send("/sound");
    LONGS_EQUAL(200, status());
}

TEST(crashing_requests, new_configuration_with_another_service_does_not_forget_them)
{
    configure(routes::retry_policy::idempotent);
    let_both_crash();
    send("/deadly");
    restart_both();
    service = core::service_id("other");
    configure(routes::retry_policy::idempotent);
    send("/deadly");
    LONGS_EQUAL(503, status());
    LONGS_EQUAL(2, received_requests());
}

// A failure that an endpoint reports does not show that the request is sound.
TEST(crashing_requests, failure_of_an_endpoint_does_not_clear_a_request)
{
    configure(routes::retry_policy::at_most_once);
    let_both_crash();
    send("/deadly");
    LONGS_EQUAL(502, status());
    restart_both();
    for (scripted_endpoint* e : {&a, &b}) {
        e->replies = {{full_answer("7", "failure", 500)}};
    }
    send("/deadly");
    LONGS_EQUAL(500, status());
    let_both_crash();
    send("/deadly");
    LONGS_EQUAL(502, status());
    restart_both();
    send("/deadly");
    LONGS_EQUAL(503, status());
}
