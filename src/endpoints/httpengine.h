#pragma once

#include "core/task.h"
#include "endpoints/internal/engineprotocol.h"
#include "http/clientconnection.h"
#include "sessions/entrysession.h"

#include <memory>

namespace currantpitch::endpoints {

/// Client of a model engine's HTTP interface. POST /v1/completions answers with a stream of
/// server-sent events, and GET /status reports health and load.
class http_engine {
public:
    http_engine(const core::asio::any_io_executor& executor, core::asio::ip::tcp::endpoint address);

    /// Runs one generation. The result is refused only if nothing was sent to the engine.
    core::task<sessions::work_end> run(sessions::start_work work, sessions::token_sink& sink);
    core::task<core::result<endpoint_status>> status();
    /// Sends an order and returns the engine's answer. Returns errc::refused with the engine's
    /// reason, errc::unavailable if nothing was sent, and errc::timeout or errc::closed if the
    /// effect is unknown.
    core::task<core::result<std::string>> order(std::string body, core::time_point deadline);

private:
    core::task<core::result<http::client_connection>> connect();
    core::task<sessions::work_end> stream(http::client_connection& connection,
                                          sessions::start_work work, sessions::token_sink& sink);

    core::asio::any_io_executor executor_;
    core::asio::ip::tcp::endpoint address_;
};

/// Whether the endpoint has failed or restarted since it reported the incarnation: it does not
/// answer or reports another incarnation.
template <class Backend>
core::task<bool> has_failed_since(Backend& backend, core::incarnation previous_incarnation)
{
    const core::result<endpoint_status> now = co_await backend.status();
    co_return !now || now.value().incarnation != previous_incarnation;
}

} // namespace currantpitch::endpoints
