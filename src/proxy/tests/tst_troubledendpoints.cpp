#include "flowsite.h"

using namespace currantpitch;
using namespace currantpitch::testing;

namespace {

struct troubled_site : flow_site {
    proxy::service_state& service() { return shared.service(core::service_id("s")); }
    /// The service's other streams get events for 2 s.
    void let_other_streams_progress()
    {
        core::spawn(context.get_executor(), [](proxy::service_state& s) -> core::task<void> {
            for (int i = 0; i < 40; ++i) {
                s.last_progress = core::runtime_clock::now();
                co_await core::sleep_for(50ms);
            }
        }(service()));
    }
    /// Lets another request run at the second endpoint, which has one slot.
    std::optional<core::endpoint_id> take_slot_of_b()
    {
        dispatch::dispatch_request other;
        other.excluded = {core::endpoint_id("a")};
        return service().queue.slot_scheduler().start(other, core::runtime_clock::now());
    }
    /// Lets a stream break off at the first endpoint and the second one give this answer. Checks
    /// that the caller gets the events, nothing of the answer, and no end of the stream.
    void break_off_and_answer(const std::string& next)
    {
        configure(routes::retry_policy::resumable_stream);
        a.replies = {{stream_head("7") + events(0, 2), reply::after_reply::reset}};
        b.replies = {{next}};
        send_request();
        LONGS_EQUAL(200, status());
        LONGS_EQUAL(2, received_requests());
        CHECK(answer.find("id: 2\ndata: x") != std::string::npos);
        CHECK(answer.find("the error") == std::string::npos);
        CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
        CHECK(!ends_with_last_chunk());
    }
};

} // namespace

TEST_GROUP_BASE(troubled_endpoints, troubled_site){};

TEST(troubled_endpoints, answer_without_an_id_is_not_forwarded)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{"HTTP/1.1 200 X\r\nGenuine: 1\r\nContent-Length: 4\r\n\r\ntext"}};
    send_request();
    LONGS_EQUAL(502, status());
    CHECK(answer.find("text") == std::string::npos);
}

// An endpoint in trouble sent an answer with the status 000, and the caller got it.
TEST(troubled_endpoints, answer_with_an_impossible_status_is_not_forwarded)
{
    configure(routes::retry_policy::at_most_once);
    for (const std::string status : {"000", "099", "100", "199", "600", "999"}) {
        answer.clear();
        a.replies = {{"HTTP/1.1 " + status +
                      " X\r\nId: 7\r\nGenuine: 1\r\nContent-Length: 8\r\n\r\nthe text"}};
        send_request();
        LONGS_EQUAL(502, this->status());
        CHECK(answer.find("the text") == std::string::npos);
    }
}

// The endpoint may have run the request, whatever else the answer says.
TEST(troubled_endpoints, answer_with_an_impossible_status_does_not_prove_that_nothing_ran)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{"HTTP/1.1 000 X\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}};
    send_request();
    LONGS_EQUAL(502, this->status());
    LONGS_EQUAL(1, received_requests());
}

TEST(troubled_endpoints, request_is_repeated_after_an_answer_with_an_impossible_status)
{
    configure(routes::retry_policy::idempotent);
    a.replies = {{"HTTP/1.1 000 X\r\nId: 7\r\nGenuine: 1\r\nContent-Length: 5\r\n\r\nwrong"}};
    b.replies = {{full_answer("7", "right")}};
    send_request();
    LONGS_EQUAL(200, this->status());
    CHECK(answer.ends_with("right"));
}

TEST(troubled_endpoints, stream_with_an_impossible_status_is_not_relayed)
{
    configure(routes::retry_policy::one_shot_stream);
    a.replies = {{"HTTP/1.1 000 X\r\nId: 7\r\nGenuine: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                  events(0, 2) + "0\r\n\r\n"}};
    send_request();
    LONGS_EQUAL(502, this->status());
    CHECK(answer.find("data: x") == std::string::npos);
}

TEST(troubled_endpoints, second_copy_of_an_answer_is_not_given_to_the_next_caller)
{
    configure(routes::retry_policy::at_most_once);
    for (const std::chrono::milliseconds delay : {0ms, 1ms, 50ms, 250ms}) {
        answer.clear();
        // The second copy comes with the first one. The next request is sent after the delay.
        a.replies = {{full_answer("7", "first") + full_answer("7", "first")},
                     {full_answer("7", "second")}};
        send_request();
        CHECK(answer.ends_with("first"));
        answer.clear();
        context.restart();
        context.run_for(delay);
        a.replies = {{full_answer("7", "second")}};
        send_request();
        CHECK(answer.ends_with("second"));
    }
}

TEST(troubled_endpoints, endless_bytes_are_bounded_and_end_the_attempt)
{
    const std::string block(4096, 'x');
    const std::vector<reply> endless{
        {"HTTP/1.1 200 ", reply::after_reply::close, block},
        {"HTTP/1.1 200 X\r\nA: ", reply::after_reply::close, block},
        {"HTTP/1.1 200 X\r\n", reply::after_reply::close, "Field: value\r\n"},
        {head("7", "Genuine: 1\r\n\r\n"), reply::after_reply::close, block},
        {stream_head("7") + "4;ext=", reply::after_reply::close, block},
        {stream_head("7"), reply::after_reply::close, chunk(block)},
        {stream_head("7") + "0\r\n", reply::after_reply::close, "Trailer: value\r\n"},
    };
    configure(routes::retry_policy::at_most_once);
    for (const reply& r : endless) {
        answer.clear();
        a.repeated_bytes = 0;
        a.replies = {r};
        const core::time_point started_at = core::runtime_clock::now();
        send_request();
        CHECK(status() == 502 || status() == 504);
        CHECK(core::runtime_clock::now() - started_at < 2s);
        // The limit of an answer, and what the kernel buffers on both sides.
        CHECK(a.repeated_bytes < proxy::max_answer_bytes + std::size_t{12} * 1024 * 1024);
    }
}

TEST(troubled_endpoints, endless_bytes_in_a_stream_end_it)
{
    const std::string block(4096, 'x');
    configure(routes::retry_policy::one_shot_stream);
    for (const std::string& begin :
         {stream_head("7") + chunk("id: 1\ndata: "), stream_head("7") + "4;ext="}) {
        answer.clear();
        a.repeated_bytes = 0;
        a.replies = {
            {begin, reply::after_reply::close, begin.ends_with("=") ? block : chunk(block)}};
        send_request();
        CHECK(!answer.ends_with("0\r\n\r\n"));
        CHECK(a.repeated_bytes < std::size_t{12} * 1024 * 1024);
    }
}

TEST(troubled_endpoints, stream_that_sends_only_comments_ends_at_its_deadline)
{
    configure(routes::retry_policy::one_shot_stream);
    a.replies = {
        {stream_head("7") + events(1, 2), reply::after_reply::close, chunk(":\n\n"), 50ms}};
    const core::time_point started_at = core::runtime_clock::now();
    send_request();
    CHECK(core::runtime_clock::now() - started_at < 2s);
    CHECK(!answer.ends_with("0\r\n\r\n"));
}

TEST(troubled_endpoints, slow_stream_is_not_cut_while_no_other_endpoint_can_continue_it)
{
    configure(routes::retry_policy::resumable_stream);
    let_other_streams_progress();
    shared.endpoints.on_removal(core::endpoint_id("b"), core::runtime_clock::now());
    shared.apply_endpoints();
    // The pause is longer than the idle timeout of a stream while others make progress.
    a.replies = {{stream_head("7") + events(1, 2), reply::after_reply::close,
                  events(3, 3) + "0\r\n\r\n", 1000ms}};
    a.pause_before_repeated = 1000ms;
    send_request();
    CHECK(answer.find("id: 3") != std::string::npos);
    CHECK(answer.ends_with("0\r\n\r\n"));
}

// A stream must not be given up for a slot that is not free.
TEST(troubled_endpoints, silent_stream_is_not_cut_while_all_other_slots_are_in_use)
{
    configure(routes::retry_policy::resumable_stream);
    let_other_streams_progress();
    CHECK(take_slot_of_b().has_value());
    a.replies = {{stream_head("7") + events(1, 2), reply::after_reply::close,
                  events(3, 3) + "0\r\n\r\n", 1000ms}};
    a.pause_before_repeated = 1200ms;
    send_request();
    CHECK(answer.find("id: 3") != std::string::npos);
    CHECK(ends_with_last_chunk());
}

TEST(troubled_endpoints, silent_stream_is_resumed_when_another_slot_becomes_free)
{
    configure(routes::retry_policy::resumable_stream, 2500ms);
    let_other_streams_progress();
    CHECK(take_slot_of_b().has_value());
    core::spawn(context.get_executor(), [](proxy::service_state& s) -> core::task<void> {
        co_await core::sleep_for(1200ms);
        s.queue.slot_scheduler().finish(core::endpoint_id("b"), dispatch::work_outcome::done, 1s,
                                        core::runtime_clock::now());
        s.queue.process_waiting();
    }(service()));
    a.replies = {{stream_head("7") + events(1, 2), reply::after_reply::hang}};
    b.replies = {{stream_head("7") + events(3, 3) + "0\r\n\r\n"}};
    send_request();
    LONGS_EQUAL(1, b.received_requests.size());
    CHECK(ends_with_last_chunk());
}

TEST(troubled_endpoints, stream_is_not_sent_to_another_rank_while_the_whole_group_pauses)
{
    configure(routes::retry_policy::resumable_stream, 2500ms);
    shared.service(core::service_id("s")).running_streams = 5;
    a.replies = {{stream_head("7") + events(1, 2), reply::after_reply::close,
                  events(3, 3) + "0\r\n\r\n", 1000ms}};
    a.pause_before_repeated = 1900ms;
    send_request();
    LONGS_EQUAL(0, b.received_requests.size());
    CHECK(answer.ends_with("0\r\n\r\n"));
}

TEST(troubled_endpoints, single_silent_stream_is_resumed_at_another_rank)
{
    configure(routes::retry_policy::resumable_stream, 3000ms);
    a.replies = {{stream_head("7") + events(1, 2), reply::after_reply::hang}};
    b.replies = {{stream_head("7") + events(3, 3) + "0\r\n\r\n"}};
    send_request();
    LONGS_EQUAL(1, b.received_requests.size());
    CHECK(answer.ends_with("0\r\n\r\n"));
}

// A faulty endpoint wrote an earlier refusal once more. The request had run, but its caller was
// told that it had not, or it ran at a second endpoint.
TEST(troubled_endpoints, refusal_without_an_id_is_taken_for_that_of_the_request)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}};
    b.replies = {{full_answer("7", "text")}};
    send_request();
    LONGS_EQUAL(502, status());
    LONGS_EQUAL(1, received_requests());
}

TEST(troubled_endpoints, refusal_of_an_earlier_request_is_taken_for_that_of_the_request)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{full_answer("6", "", 503, "Not-Run: 1\r\n") + full_answer("7", "text")}};
    send_request();
    LONGS_EQUAL(200, status());
    answer.clear();
    a.replies = {{full_answer("6", "", 503, "Not-Run: 1\r\n"), reply::after_reply::close}};
    send_request();
    LONGS_EQUAL(502, status());
    LONGS_EQUAL(2, received_requests());
}
// A stream had begun and broke off, and the next endpoint answered with an error. The caller found
// the error in the middle of the stream.
TEST(troubled_endpoints, error_of_the_next_endpoint_gets_into_a_stream)
{
    break_off_and_answer(full_answer("7", "the error", 404));
}

TEST(troubled_endpoints, failure_of_the_next_endpoint_gets_into_a_stream)
{
    break_off_and_answer(full_answer("7", "the error", 500));
}

TEST(troubled_endpoints, refusal_of_the_next_endpoint_gets_into_a_stream)
{
    break_off_and_answer(full_answer("7", "the error", 503, "Not-Run: 1\r\n"));
}

TEST(troubled_endpoints, answer_without_events_ends_a_stream_as_complete)
{
    break_off_and_answer(full_answer("7", "", 204));
}
