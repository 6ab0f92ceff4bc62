#include "currantpitchctl/apiclient.h"

#include "currantpitchctl/ctlconstants.h"
#include "wire/framedconnection.h"

namespace currantpitch::ctl {

using core::errc;
using core::error;

namespace {

/// Runs a task to completion on the context.
template <class T>
core::result<T> run_to_completion(core::asio::io_context& context,
                                  core::task<core::result<T>> operation)
{
    core::result<T> outcome = error{errc::unavailable, "operation did not complete"};
    core::spawn_then(context.get_executor(), std::move(operation),
                     [&outcome](core::result<T> result) { outcome = std::move(result); });
    context.run();
    return outcome;
}

} // namespace

core::task<core::result<http::client_connection>> api_client::connect()
{
    error last_error{errc::unavailable, "no server specified"};
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
        last_error = error{errc::unavailable, server + ": " + connected.error().detail};
    }
    co_return last_error;
}

core::task<core::result<http::response>> api_client::do_exchange(http::request request)
{
    core::result<http::client_connection> connection = co_await connect();
    if (!connection) {
        co_return connection.error();
    }
    co_return co_await connection.value().exchange(std::move(request),
                                                   core::runtime_clock::now() + exchange_timeout);
}

core::task<core::result<void>>
api_client::do_stream(http::request request, const std::function<bool(const std::string&)>& on_line)
{
    core::result<http::client_connection> connection = co_await connect();
    if (!connection) {
        co_return connection.error();
    }
    const core::result<http::response> response_head = co_await connection.value().open_stream(
        std::move(request), core::runtime_clock::now() + exchange_timeout);
    if (!response_head) {
        co_return response_head.error();
    }
    http::record_splitter lines("\n");
    while (true) {
        const core::result<std::string> chunk = co_await connection.value().read_some(
            core::runtime_clock::now() + std::chrono::hours(24));
        if (!chunk) {
            co_return chunk.error();
        }
        if (chunk.value().empty()) {
            co_return core::ok();
        }
        lines.add(chunk.value());
        for (std::optional<std::string> line = lines.next(); line; line = lines.next()) {
            if (!on_line(*line)) {
                co_return core::ok();
            }
        }
    }
}

core::result<http::response> api_client::exchange(http::request request)
{
    core::asio::io_context context{1};
    return run_to_completion(context, do_exchange(std::move(request)));
}

core::result<void> api_client::stream(http::request request,
                                      const std::function<bool(const std::string&)>& on_line)
{
    core::asio::io_context context{1};
    return run_to_completion(context, do_stream(std::move(request), on_line));
}

} // namespace currantpitch::ctl
