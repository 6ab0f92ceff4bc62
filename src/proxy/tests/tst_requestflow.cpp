#include "core/eventlog.h"
#include "proxy/requesthandler.h"

#include "CppUTest/TestHarness.h"

#include <functional>

using namespace currantpitch;
using namespace std::chrono_literals;
namespace asio = core::asio;

namespace {

/// A minimal dialect with one header for each value.
struct plain_dialect {
    static core::result<proxy::caller_request> read_request(http::request received)
    {
        proxy::caller_request r;
        r.id = received.header_value("Id").value_or("");
        if (r.id.empty()) {
            return core::error{core::errc::malformed, "no id"};
        }
        r.host = received.header_value("Host").value_or("");
        r.key = received.header_value("Key");
        r.timeout = 3s;
        r.message = std::move(received);
        return r;
    }
    static http::request make_endpoint_request(const proxy::caller_request& request,
                                               const proxy::endpoint_call& call)
    {
        http::request message = request.message;
        message.headers = {{"Id", request.id}, {"For", call.endpoint.str()}};
        if (call.last_event_id) {
            message.headers.push_back({"Last", std::to_string(*call.last_event_id)});
        }
        return message;
    }
    static proxy::answer_metadata read_answer(const http::response& head)
    {
        proxy::answer_metadata metadata;
        metadata.id = head.header_value("Id").value_or("");
        metadata.genuine = head.header_value("Genuine").has_value();
        metadata.not_run = head.header_value("Not-Run").has_value();
        return metadata;
    }
    static http::response write_refusal(const proxy::caller_request&, const proxy::refusal& refused)
    {
        http::response answer;
        answer.status = refused.status;
        answer.body = std::string(refused.reason);
        return answer;
    }
};

/// Bytes that an endpoint sends, and whether its connection then stays open, closes, is reset or
/// hangs.
struct reply {
    enum class after_reply { keep, close, reset, hang };
    std::string bytes;
    after_reply end = after_reply::keep;
    /// Bytes that are sent again and again after the others, at the interval, until the connection
    /// is closed.
    std::string repeated{};
    std::chrono::milliseconds interval{};
};

std::string head(const std::string& id, const std::string& extra_headers, int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\n" + extra_headers;
}
std::string full_answer(const std::string& id, const std::string& body, int status = 200,
                        const std::string& extra_headers = "Genuine: 1\r\n")
{
    return head(id, extra_headers, status) + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}
std::string chunk(const std::string& text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}
std::string events(int from, int to)
{
    std::string out;
    for (int i = from; i <= to; ++i) {
        out += chunk("id: " + std::to_string(i) + "\ndata: x\n\n");
    }
    return out;
}
std::string stream_head(const std::string& id)
{
    return head(id, "Genuine: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
}

/// An endpoint that sends scripted replies and records the requests.
class scripted_endpoint {
public:
    scripted_endpoint(asio::io_context& context, std::string name)
        : name_(std::move(name)),
          acceptor_(context, asio::ip::tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0))
    {
        core::spawn(context.get_executor(), accept());
    }
    asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    void stop_listening() { acceptor_.close(); }

    std::deque<reply> replies;
    std::vector<std::string> received_requests;
    std::size_t repeated_bytes = 0;
    std::chrono::milliseconds pause_before_repeated{};

private:
    core::task<void> accept()
    {
        boost::system::error_code failure;
        while (true) {
            asio::ip::tcp::socket s =
                co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, failure));
            if (failure) {
                co_return;
            }
            core::spawn(acceptor_.get_executor(), serve(std::move(s)));
        }
    }
    core::task<void> serve(asio::ip::tcp::socket s)
    {
        boost::system::error_code failure;
        std::string received;
        while (true) {
            const std::size_t end =
                co_await asio::async_read_until(s, asio::dynamic_buffer(received), "\r\n\r\n",
                                                asio::redirect_error(asio::use_awaitable, failure));
            if (failure) {
                co_return;
            }
            received_requests.push_back(received.substr(0, end));
            received.clear();
            const reply r =
                replies.empty() ? reply{"", reply::after_reply::close} : replies.front();
            if (!replies.empty()) {
                replies.pop_front();
            }
            co_await asio::async_write(s, asio::buffer(r.bytes),
                                       asio::redirect_error(asio::use_awaitable, failure));
            co_await core::sleep_for(pause_before_repeated);
            while (!r.repeated.empty() && !failure) {
                repeated_bytes +=
                    co_await asio::async_write(s, asio::buffer(r.repeated),
                                               asio::redirect_error(asio::use_awaitable, failure));
                if (r.interval.count() > 0) {
                    co_await core::sleep_for(r.interval);
                }
            }
            if (r.end == reply::after_reply::hang) {
                co_await core::sleep_for(5s);
            }
            if (r.end == reply::after_reply::reset) {
                // Lets the written bytes arrive before the reset.
                co_await core::sleep_for(20ms);
                s.set_option(asio::socket_base::linger(true, 0), failure);
            }
            if (r.end != reply::after_reply::keep) {
                s.close(failure);
                co_return;
            }
        }
    }

    std::string name_;
    asio::ip::tcp::acceptor acceptor_;
};

} // namespace

TEST_GROUP(request_flows)
{
    asio::io_context context{1};
    proxy::proxy_context shared{context.get_executor(), core::failure_domain_id("fd"),
                                proxy::proxy_bounds{1s, {0.2, 1000, 1000ms}}, 1};
    proxy::request_handler<plain_dialect> handler{shared};
    asio::ip::tcp::acceptor callers{
        context, asio::ip::tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0)};
    scripted_endpoint a{context, "a"};
    scripted_endpoint b{context, "b"};
    std::string answer;
    std::chrono::milliseconds route_timeout{1500};

    void setup() override
    {
        core::silence_log();
        // The retry slack is available only after the first window of 1 s.
        shared.started_at = core::runtime_clock::now() - 2s;
        core::spawn(context.get_executor(), http::serve(callers, handler));
    }
    void configure(routes::retry_policy retry, std::chrono::milliseconds timeout)
    {
        route_timeout = timeout;
        configure(retry);
    }
    void configure(routes::retry_policy retry, bool requires_key = false)
    {
        routes::configuration c;
        c.version = routes::configuration_version{1};
        routes::route r;
        r.host = "desk";
        r.path_prefix = "/";
        r.retry = retry;
        r.timeout = route_timeout;
        r.target_latency = 200ms;
        r.target_gap = 100ms;
        r.max_attempts = 2;
        r.services = {{core::service_id("s"), 1}};
        c.routes = {r};
        if (requires_key) {
            routes::workspace w;
            w.name = core::workspace_id("w");
            w.keys = {"k"};
            c.workspaces = {w};
        }
        shared.configuration.apply(std::move(c), core::boot_clock::now());
        for (scripted_endpoint* e : {&a, &b}) {
            directory::endpoint_record record;
            record.endpoint = core::endpoint_id(e == &a ? "a" : "b");
            record.service = core::service_id("s");
            record.address = e->address();
            // The own failure domain is preferred.
            record.failure_domain = core::failure_domain_id(e == &a ? "fd" : "other");
            record.concurrency = e == &a ? 100 : 1;
            shared.endpoints.apply(record);
        }
        shared.apply_endpoints();
    }
    /// Sends a request and reads the answer until the connection ends.
    void send_request(const std::string& extra_headers = "")
    {
        core::spawn(
            context.get_executor(),
            [](asio::io_context& c, asio::ip::tcp::endpoint to, std::string headers,
               std::string& out) -> core::task<void> {
                asio::ip::tcp::socket s(c);
                boost::system::error_code failure;
                co_await s.async_connect(to, asio::redirect_error(asio::use_awaitable, failure));
                const std::string request =
                    "GET /x HTTP/1.1\r\nHost: desk\r\nId: 7\r\nConnection: close\r\n" + headers +
                    "\r\n";
                co_await asio::async_write(s, asio::buffer(request), asio::use_awaitable);
                std::array<char, 4096> bytes{};
                while (!failure) {
                    const std::size_t got = co_await s.async_read_some(
                        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
                    out.append(bytes.data(), got);
                }
                c.stop();
            }(context, callers.local_endpoint(), extra_headers, answer));
        context.restart();
        context.run_for(10s);
    }
    int status() const
    {
        return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
    }
    bool ends_with_last_chunk() const
    {
        return answer.ends_with("0\r\n\r\n");
    }
    std::size_t received_requests() const
    {
        return a.received_requests.size() + b.received_requests.size();
    }
};

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

TEST(request_flows, answer_without_an_id_is_not_forwarded)
{
    configure(routes::retry_policy::at_most_once);
    a.replies = {{"HTTP/1.1 200 X\r\nGenuine: 1\r\nContent-Length: 4\r\n\r\ntext"}};
    send_request();
    LONGS_EQUAL(502, status());
    CHECK(answer.find("text") == std::string::npos);
}

TEST(request_flows, second_copy_of_an_answer_is_not_given_to_the_next_caller)
{
    configure(routes::retry_policy::at_most_once);
    for (const std::chrono::milliseconds delay : {0ms, 1ms, 50ms, 250ms}) {
        answer.clear();
        // The second copy arrives as long after the first one as the next request is sent.
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

// Bytes that are no answer may come without end. What the process keeps of them is bounded, and the
// caller is told before its own timeout.
TEST(request_flows, endless_bytes_are_bounded_and_end_the_attempt)
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

TEST(request_flows, endless_bytes_in_a_stream_end_it)
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

TEST(request_flows, stream_that_sends_only_comments_ends_at_its_deadline)
{
    configure(routes::retry_policy::one_shot_stream);
    a.replies = {
        {stream_head("7") + events(1, 2), reply::after_reply::close, chunk(":\n\n"), 50ms}};
    const core::time_point started_at = core::runtime_clock::now();
    send_request();
    CHECK(core::runtime_clock::now() - started_at < 2s);
    CHECK(!answer.ends_with("0\r\n\r\n"));
}

TEST(request_flows, slow_stream_is_not_cut_while_no_other_endpoint_can_continue_it)
{
    configure(routes::retry_policy::resumable_stream);
    core::spawn(context.get_executor(), [](proxy::service_state& s) -> core::task<void> {
        for (int i = 0; i < 40; ++i) {
            s.last_progress = core::runtime_clock::now();
            co_await core::sleep_for(50ms);
        }
    }(shared.service(core::service_id("s"))));
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

// A host of a group stood still for four seconds. Streams were sent to a second rank, which read
// them when their callers had left.
TEST(request_flows, stream_is_not_sent_to_another_rank_while_the_whole_group_pauses)
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

TEST(request_flows, single_silent_stream_is_resumed_at_another_rank)
{
    configure(routes::retry_policy::resumable_stream, 3000ms);
    a.replies = {{stream_head("7") + events(1, 2), reply::after_reply::hang}};
    b.replies = {{stream_head("7") + events(3, 3) + "0\r\n\r\n"}};
    send_request();
    LONGS_EQUAL(1, b.received_requests.size());
    CHECK(answer.ends_with("0\r\n\r\n"));
}

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
