#include "endpoints/httpservice.h"

#include "endpoints/endpointsconstants.h"

namespace currantpitch::endpoints {

using core::errc;
using core::error;
using sessions::end_state;
using sessions::work_end;

http_service::http_service(const core::asio::any_io_executor& executor,
                           core::asio::ip::tcp::endpoint address)
    : executor_(executor), address_(std::move(address))
{
}

core::task<work_end> http_service::run(sessions::start_work work, sessions::token_sink& sink)
{
    (void)sink;
    work_end end;
    const core::time_point now = core::runtime_clock::now();
    http::client_connection connection(executor_);
    const core::result<void> opened = co_await connection.connect(address_, now + connect_timeout);
    if (!opened) {
        end.state = end_state::refused;
        end.detail = opened.error().detail;
        co_return end;
    }
    http::request message;
    message.method = work.method;
    message.target = work.path;
    message.body = std::move(work.body);
    const core::duration limit =
        std::min<core::duration>(work.time_left, core::duration(max_call_duration));
    core::result<http::response> answer =
        co_await connection.exchange(std::move(message), now + limit);
    if (!answer) {
        end.state = end_state::failed;
        end.detail = answer.error().detail;
        co_return end;
    }
    end.state = end_state::finished;
    end.status = answer.value().status;
    end.content_type = answer.value().content_type;
    end.body = std::move(answer.value().body);
    co_return end;
}

core::task<core::result<endpoint_status>> http_service::status()
{
    http::client_connection connection(executor_);
    const core::time_point now = core::runtime_clock::now();
    const core::result<void> opened = co_await connection.connect(address_, now + connect_timeout);
    if (!opened) {
        co_return error{errc::unavailable, opened.error().detail};
    }
    http::request message;
    message.target = "/status";
    const core::result<http::response> answer =
        co_await connection.exchange(std::move(message), now + poll_timeout);
    if (!answer) {
        co_return answer.error();
    }
    co_return parse_status(answer.value().body);
}

} // namespace currantpitch::endpoints
