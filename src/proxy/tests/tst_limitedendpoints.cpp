#include "flowsite.h"

using namespace currantpitch;
using namespace currantpitch::testing;

TEST_GROUP_BASE(limited_endpoints, flow_site)
{
    const std::string limited_answer =
        full_answer("7", "text", 200, "Genuine: 1\r\nLimit: 0.5\r\n");

    void configure_both()
    {
        configure(routes::retry_policy::idempotent);
        shared.signals.ask_for_permit = [this](const backpressure::permit_request& r) {
            shared.signals.on_offer({r.endpoint, false, 5000ms}, core::runtime_clock::now());
        };
    }
};

TEST(limited_endpoints, next_request_goes_to_another_endpoint)
{
    configure_both();
    a.replies = {{limited_answer}, {limited_answer}};
    b.replies = {{full_answer("7", "text")}};
    send_request();
    LONGS_EQUAL(1, a.received_requests.size());
    answer.clear();
    send_request();
    LONGS_EQUAL(200, status());
    LONGS_EQUAL(1, b.received_requests.size());
}

// Requests waited for endpoints that accepted none, until their time was over.
TEST(limited_endpoints, request_without_any_permit_is_held)
{
    configure_both();
    for (const char* const name : {"a", "b"}) {
        shared.on_endpoint_signal(
            {core::endpoint_id(name), {}, 0.5, false, {}, core::runtime_clock::now()}, "7");
    }
    send_request();
    LONGS_EQUAL(503, status());
    // A request that has waited until its time was over is refused with another reason.
    CHECK(answer.ends_with("endpoints_limited"));
    LONGS_EQUAL(0, received_requests());
}

TEST(limited_endpoints, permit_of_a_stream_that_is_resumed_counts)
{
    configure(routes::retry_policy::resumable_stream);
    int asked = 0;
    shared.signals.ask_for_permit = [this, &asked](const backpressure::permit_request& r) {
        shared.signals.on_offer({r.endpoint, ++asked == 1, 0ms}, core::runtime_clock::now());
    };
    shared.on_endpoint_signal(
        {core::endpoint_id("b"), {}, 0.5, false, {}, core::runtime_clock::now()}, "7");
    a.replies = {{stream_head("7") + events(0, 2), reply::after_reply::reset}};
    b.replies = {{head("7", "Genuine: 1\r\nLimit: 0.5\r\nTransfer-Encoding: chunked\r\n\r\n") +
                  events(3, 4) + "0\r\n\r\n"}};
    send_request();
    CHECK(ends_with_last_chunk());
    CHECK(!shared.signals.admits(core::endpoint_id("b"), core::runtime_clock::now()));
}

TEST(limited_endpoints, request_reaches_an_endpoint_that_leaves)
{
    configure(routes::retry_policy::idempotent);
    a.replies = {{full_answer("7", "text", 200, "Genuine: 1\r\nLeaving: 1\r\n")}};
    b.replies = {{full_answer("7", "text")}, {full_answer("7", "text")}};
    send_request();
    answer.clear();
    // The store still says that it is ready.
    shared.apply_endpoints();
    send_request();
    answer.clear();
    send_request();
    LONGS_EQUAL(200, status());
    LONGS_EQUAL(1, a.received_requests.size());
}

TEST(limited_endpoints, request_for_endpoints_that_want_none_is_held_or_sent)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{full_answer("7", "", 503, "Not-Run: 1\r\nQuiet: 3000\r\n")}};
    b.replies = {{full_answer("7", "", 503, "Not-Run: 1\r\nQuiet: 3000\r\n")}};
    send_request();
    answer.clear();
    send_request();
    LONGS_EQUAL(503, status());
    CHECK(answer.ends_with("endpoints_limited"));
    LONGS_EQUAL(2, received_requests());
}

// A request whose permit is lost is not sent. It goes to another endpoint, although there is no
// allowance for a retry.
TEST(limited_endpoints, request_to_an_endpoint_that_becomes_cold_meanwhile_is_sent_or_refused)
{
    shared.bounds.retries = {0, 0, 1000ms};
    configure(routes::retry_policy::at_most_once);
    a.replies = {{full_answer("7", "text")}};
    b.replies = {{full_answer("7", "text")}};
    std::string chosen;
    core::spawn(context.get_executor(), [](flow_site& site, std::string& name) -> core::task<void> {
        const dispatch::scheduler& slots = site.shared.service(site.service).queue.slot_scheduler();
        while (slots.own_load().empty()) {
            co_await asio::post(asio::use_awaitable);
        }
        // The slot is taken, and the connection is not established yet.
        const core::endpoint_id endpoint = slots.own_load().begin()->first;
        name = endpoint.str();
        site.shared.signals.on_cold(endpoint, {}, 17, 60s, core::runtime_clock::now());
    }(*this, chosen));
    send_request();
    LONGS_EQUAL(200, status());
    LONGS_EQUAL(chosen == "a" ? 0 : 1, a.received_requests.size());
    LONGS_EQUAL(chosen == "a" ? 1 : 0, b.received_requests.size());
}
