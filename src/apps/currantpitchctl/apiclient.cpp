#include "currantpitchctl/apiclient.h"

#include "currantpitchctl/ctlconstants.h"
#include "wire/framedconnection.h"

namespace currantpitch::ctl {

using core::errc;
using core::error;

namespace {

/// Runs one task to its end on a context of its own.
template <class T>
core::result<T> wait_for(core::asio::io_context& context, core::task<core::result<T>> work)
{
    core::result<T> outcome = error{errc::unavailable, "not run"};
    core::spawn_then(context.get_executor(), std::move(work),
                     [&outcome](core::result<T> result) { outcome = std::move(result); });
    context.run();
    return outcome;
}

} // namespace

core::task<core::result<http::client_connection>> api_client::connect()
{
    error last{errc::unavailable, "no server is named"};
    for (const std::string& server : servers_) {
        const core::result<core::asio::ip::tcp::endpoint> address = wire::parse_address(server);
        if (!address) {
            co_return address.error();
        }
        http::client_connection connection(co_await core::asio::this_coro::executor);
        const core::result<void> connected = co_await connection.connect(
            address.value(), core::runtime_clock::now() + std::chrono::seconds(3));
        if (connected) {
            co_return std::move(connection);
        }
        last = error{errc::unavailable, server + ": " + connected.error().detail};
    }
    co_return last;
}

core::task<core::result<http::response>> api_client::run(http::request message)
{
    core::result<http::client_connection> connection = co_await connect();
    if (!connection) {
        co_return connection.error();
    }
    co_return co_await connection.value().exchange(std::move(message),
                                                   core::runtime_clock::now() + exchange_timeout);
}

core::task<core::result<void>>
api_client::run_stream(http::request message,
                       const std::function<bool(const std::string&)>& on_line)
{
    core::result<http::client_connection> connection = co_await connect();
    if (!connection) {
        co_return connection.error();
    }
    const core::result<http::response> head = co_await connection.value().open_stream(
        std::move(message), core::runtime_clock::now() + exchange_timeout);
    if (!head) {
        co_return head.error();
    }
    http::record_splitter lines("\n");
    while (true) {
        const core::result<std::string> piece = co_await connection.value().read_some(
            core::runtime_clock::now() + std::chrono::hours(24));
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            co_return core::ok();
        }
        lines.add(piece.value());
        for (std::optional<std::string> line = lines.next(); line; line = lines.next()) {
            if (!on_line(*line)) {
                co_return core::ok();
            }
        }
    }
}

core::result<http::response> api_client::exchange(http::request message)
{
    core::asio::io_context context{1};
    return wait_for(context, run(std::move(message)));
}

core::result<void> api_client::stream(http::request message,
                                      const std::function<bool(const std::string&)>& on_line)
{
    core::asio::io_context context{1};
    return wait_for(context, run_stream(std::move(message), on_line));
}

} // namespace currantpitch::ctl
