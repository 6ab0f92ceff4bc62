#pragma once

#include "core/task.h"
#include "endpoints/internal/engineprotocol.h"
#include "http/clientconnection.h"
#include "sessions/entrysession.h"

#include <memory>

namespace currantpitch::endpoints {

/// A model engine behind its HTTP interface: POST /v1/completions answers with a stream of
/// server-sent events, GET /status reports health and load.
class http_engine {
public:
    http_engine(const core::asio::any_io_executor& executor, core::asio::ip::tcp::endpoint address);

    /// Runs one generation. Ends as refused only when nothing was sent to the engine.
    core::task<sessions::work_end> run(sessions::start_work work, sessions::token_sink& sink);
    core::task<core::result<endpoint_status>> status();
    /// Sends an order and returns the engine's answer; errc::refused with the engine's reason,
    /// errc::unavailable when nothing was sent, errc::timeout or errc::closed when its effect is
    /// not known.
    core::task<core::result<std::string>> order(std::string body, core::time_point deadline);

private:
    core::task<core::result<http::client_connection>> connected();
    core::task<sessions::work_end> stream(http::client_connection& connection,
                                          sessions::start_work work, sessions::token_sink& sink);

    core::asio::any_io_executor executor_;
    core::asio::ip::tcp::endpoint address_;
};

/// Whether the endpoint died since it had the incarnation: another one answers, or none.
template <class Backend>
core::task<bool> has_died(Backend& backend, core::incarnation before)
{
    const core::result<endpoint_status> now = co_await backend.status();
    co_return !now || now.value().incarnation != before;
}

} // namespace currantpitch::endpoints
