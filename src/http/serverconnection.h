#pragma once

#include "core/error.h"
#include "core/memorybudget.h"
#include "core/task.h"
#include "core/timer.h"
#include "http/httpconstants.h"
#include "http/httpmessage.h"

#include <concepts>
#include <memory>

namespace currantpitch::http {

/// Limits on the size of a caller's requests and on the time that it may take to send one.
struct server_limits {
    std::size_t head_bytes = max_head_bytes;
    std::size_t body_bytes = max_body_bytes;
    std::chrono::milliseconds idle_timeout = default_idle_timeout;
    /// Memory for the bodies of all requests that are read or handled, if it is bounded. A request
    /// for which there is none left is answered with 503.
    core::memory_budget* bodies = nullptr;
};

/// A connection of a caller. Requests are read and answered one after another. A response is sent
/// either at once or as a stream of chunks. A stream that ends without end_stream lacks its
/// terminating chunk, so the caller detects that it is truncated.
class server_connection {
public:
    explicit server_connection(core::asio::ip::tcp::socket socket);
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;
    ~server_connection();

    /// Reads the next request. errc::closed at the end of the connection, errc::malformed when the
    /// input is not HTTP, errc::too_large when it exceeds a size limit and errc::unavailable when
    /// there is no memory for it. The last three are answered with 400, 413 and 503 before this
    /// returns. The memory of the previous request is given back.
    core::task<core::result<request>> read_request();
    core::task<core::result<void>> reply(response answer);
    core::task<core::result<void>> begin_stream(std::string content_type);
    /// Begins a stream with the status and headers of the response; its body is ignored.
    core::task<core::result<void>> begin_stream(const response& head);
    core::task<core::result<void>> write_chunk(std::string chunk);
    core::task<core::result<void>> end_stream();

    void close();
    /// Completes when the caller closes the connection, but not when it sends more data.
    core::task<void> wait_for_close();
    /// Closes the connection after the next response, whose headers announce this.
    void close_after_response();
    /// Sets the limits on further requests and on the time between them.
    void set_limits(const server_limits& limits);
    /// Whether another request may be read.
    bool reusable() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

/// A handler that sets the limits on the requests that it takes. They apply from the first request
/// of a connection.
template <class H>
concept limiting_handler = requires(const H& handler)
{
    {
        handler.limits()
        } -> std::same_as<server_limits>;
};

/// Accepts connections until the acceptor closes and runs one task for each connection. The handler
/// is called as handler(server_connection&, request&&) -> task<void> for each request and must
/// outlive the connections.
template <class Handler>
core::task<void> serve(core::asio::ip::tcp::acceptor& acceptor, Handler& handler)
{
    while (acceptor.is_open()) {
        boost::system::error_code failure;
        core::asio::ip::tcp::socket socket = co_await acceptor.async_accept(
            core::asio::redirect_error(core::asio::use_awaitable, failure));
        if (failure == core::asio::error::operation_aborted) {
            co_return;
        }
        if (failure) {
            // Most likely the process is out of file descriptors. The delay gives other tasks time
            // to release some.
            co_await core::sleep_for(std::chrono::milliseconds(100));
            continue;
        }
        core::spawn_contained(acceptor.get_executor(), "http_connection",
                              [](core::asio::ip::tcp::socket s, Handler& h) -> core::task<void> {
                                  server_connection connection(std::move(s));
                                  while (connection.reusable()) {
                                      if constexpr (limiting_handler<Handler>) {
                                          connection.set_limits(h.limits());
                                      }
                                      core::result<request> received =
                                          co_await connection.read_request();
                                      if (!received) {
                                          co_return;
                                      }
                                      co_await h(connection, std::move(received.value()));
                                  }
                              }(std::move(socket), handler));
    }
}

} // namespace currantpitch::http
