#pragma once

#include "core/eventlog.h"
#include "core/text.h"
#include "proxy/requesthandler.h"

#include "CppUTest/TestHarness.h"

#include <deque>
#include <sstream>

namespace currantpitch::testing {

using namespace std::chrono_literals;
namespace asio = core::asio;

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
        for (const std::string& part :
             core::split(received.header_value("Parts").value_or(""), ',')) {
            r.shared_parts.emplace_back(part);
        }
        r.message = std::move(received);
        return r;
    }
    static http::request make_endpoint_request(const proxy::caller_request& request,
                                               const proxy::endpoint_call& call)
    {
        http::request message;
        message.method = request.message.method;
        message.target = request.message.target;
        message.headers = {{"Id", request.id}, {"For", call.endpoint.str()}};
        if (call.workspace) {
            message.headers.push_back({"Workspace", call.workspace->str()});
        }
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
        if (const std::optional<std::string> limit = head.header_value("Limit")) {
            metadata.request_limit = std::stod(*limit);
        }
        metadata.leaving = head.header_value("Leaving").has_value();
        if (const std::optional<std::string> quiet = head.header_value("Quiet")) {
            metadata.quiet_time = std::chrono::milliseconds(std::stol(*quiet));
        }
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
/// hangs, or the endpoint crashes.
struct reply {
    enum class after_reply { keep, close, reset, hang, crash };
    std::string bytes;
    after_reply end = after_reply::keep;
    /// Bytes that are sent again and again after the others, at the interval, until the connection
    /// is closed.
    std::string repeated{};
    std::chrono::milliseconds interval{};
};

inline std::string head(const std::string& id, const std::string& extra_headers, int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\n" + extra_headers;
}
inline std::string full_answer(const std::string& id, const std::string& body, int status = 200,
                               const std::string& extra_headers = "Genuine: 1\r\n")
{
    return head(id, extra_headers, status) + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}
inline std::string chunk(const std::string& text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}
inline std::string events(int from, int to)
{
    std::string out;
    for (int i = from; i <= to; ++i) {
        out += chunk("id: " + std::to_string(i) + "\ndata: x\n\n");
    }
    return out;
}
inline std::string stream_head(const std::string& id)
{
    return head(id, "Genuine: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
}

/// An endpoint that sends scripted replies and records the requests.
class scripted_endpoint {
public:
    scripted_endpoint(asio::io_context& context, std::string name)
        : name_(std::move(name)),
          acceptor_(context, asio::ip::tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0)),
          address_(acceptor_.local_endpoint())
    {
        core::spawn(context.get_executor(), accept());
    }
    asio::ip::tcp::endpoint address() const { return address_; }
    void stop_listening() { acceptor_.close(); }
    /// Listens at the same address again, as after a restart. No effect while it listens.
    void listen_again()
    {
        if (acceptor_.is_open()) {
            return;
        }
        acceptor_ = asio::ip::tcp::acceptor(acceptor_.get_executor(), address_);
        core::spawn(acceptor_.get_executor(), accept());
    }

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
            if (r.end == reply::after_reply::crash) {
                stop_listening();
            }
            if (r.end == reply::after_reply::reset || r.end == reply::after_reply::crash) {
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
    asio::ip::tcp::endpoint address_;
};

/// Two scripted endpoints of one service, a gateway's request handler and one caller, on loopback.
struct flow_site : public Utest {
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
    routes::caller_limits limits;
    bool route_is_public = false;
    std::uint64_t last_incarnation = 0;
    core::service_id service{"s"};

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
        r.services = {{service, 1}};
        r.allow_anonymous = route_is_public;
        c.routes = {r};
        c.limits = limits;
        if (requires_key) {
            routes::workspace w;
            w.name = core::workspace_id("w");
            w.keys = {"k"};
            c.workspaces = std::vector{w};
        }
        shared.configuration.apply(std::move(c), core::boot_clock::now());
        register_endpoint(a, core::incarnation{last_incarnation});
        register_endpoint(b, core::incarnation{last_incarnation});
    }
    void register_endpoint(const scripted_endpoint& e, core::incarnation incarnation)
    {
        directory::endpoint_record record;
        record.endpoint = core::endpoint_id(&e == &a ? "a" : "b");
        record.service = service;
        record.address = e.address();
        // The own failure domain is preferred.
        record.failure_domain = core::failure_domain_id(&e == &a ? "fd" : "other");
        record.concurrency = &e == &a ? 100 : 1;
        record.incarnation = incarnation;
        shared.endpoints.apply(record);
        shared.apply_endpoints();
    }
    /// Brings an endpoint that crashed back as another incarnation.
    void restart(scripted_endpoint& e)
    {
        e.listen_again();
        register_endpoint(e, core::incarnation{++last_incarnation});
    }
    /// Sends a request and reads the answer until the connection ends.
    void send_request(const std::string& extra_headers = "", const std::string& target = "/x")
    {
        core::spawn(
            context.get_executor(),
            [](asio::io_context& c, asio::ip::tcp::endpoint to, std::string headers,
               std::string path, std::string& out) -> core::task<void> {
                asio::ip::tcp::socket s(c);
                boost::system::error_code failure;
                co_await s.async_connect(to, asio::redirect_error(asio::use_awaitable, failure));
                const std::string request =
                    "GET " + path + " HTTP/1.1\r\nHost: desk\r\nId: 7\r\nConnection: close\r\n" +
                    headers + "\r\n";
                co_await asio::async_write(s, asio::buffer(request), asio::use_awaitable);
                std::array<char, 4096> bytes{};
                while (!failure) {
                    const std::size_t got = co_await s.async_read_some(
                        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
                    out.append(bytes.data(), got);
                }
                c.stop();
            }(context, callers.local_endpoint(), extra_headers, target, answer));
        context.restart();
        context.run_for(10s);
    }
    int status() const { return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0; }
    bool ends_with_last_chunk() const { return answer.ends_with("0\r\n\r\n"); }
    std::size_t received_requests() const
    {
        return a.received_requests.size() + b.received_requests.size();
    }
};

} // namespace currantpitch::testing
