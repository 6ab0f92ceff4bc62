#include "endpoints/httpengine.h"

#include "core/hashing.h"
#include "endpoints/endpointsconstants.h"

namespace currantpitch::endpoints {

using core::errc;
using core::error;
using sessions::end_state;
using sessions::work_end;

http_engine::http_engine(const core::asio::any_io_executor& executor,
                         core::asio::ip::tcp::endpoint address)
    : executor_(executor), address_(std::move(address))
{
}

core::task<core::result<http::client_connection>> http_engine::connect()
{
    http::client_connection connection(executor_);
    const core::result<void> opened =
        co_await connection.connect(address_, core::runtime_clock::now() + connect_timeout);
    if (!opened) {
        co_return error{errc::unavailable, opened.error().detail};
    }
    co_return std::move(connection);
}

core::task<work_end> http_engine::run(sessions::start_work work, sessions::token_sink& sink)
{
    core::result<http::client_connection> connection = co_await connect();
    if (!connection) {
        work_end refusal;
        refusal.state = end_state::refused;
        refusal.detail = connection.error().detail;
        co_return refusal;
    }
    co_return co_await stream(connection.value(), std::move(work), sink);
}

core::task<work_end> http_engine::stream(http::client_connection& connection,
                                         sessions::start_work work, sessions::token_sink& sink)
{
    work_end end;
    end.state = end_state::failed;
    const core::time_point deadline = core::runtime_clock::now() + work.time_left;
    http::request message;
    message.method = "POST";
    message.target = "/v1/completions";
    message.headers.push_back({"X-Resume-From", std::to_string(work.resume_from)});
    message.body = work.body;
    const core::result<http::response> head =
        co_await connection.open_stream(std::move(message), deadline);
    if (!head || head.value().status != 200) {
        end.detail = head ? "the engine answered " + std::to_string(head.value().status)
                          : head.error().detail;
        co_return end;
    }
    http::record_splitter records("\n\n");
    while (true) {
        const core::time_point idle_deadline = core::runtime_clock::now() + stream_idle_timeout;
        const core::result<std::string> piece =
            co_await connection.read_some(std::min(deadline, idle_deadline));
        if (!piece || piece.value().empty()) {
            end.detail = piece ? "the stream ended without its final event" : piece.error().detail;
            co_return end;
        }
        records.add(piece.value());
        for (std::optional<std::string> record = records.next(); record; record = records.next()) {
            core::result<engine_event> event = parse_event(*record);
            if (!event) {
                end.detail = event.error().detail;
                co_return end;
            }
            if (event.value().done) {
                end.state = end_state::finished;
                end.count = event.value().count;
                co_return end;
            }
            const bool accepted =
                co_await sink.put(event.value().offset, std::move(event.value().token));
            if (!accepted) {
                end.state = end_state::cancelled;
                co_return end;
            }
        }
    }
}

core::task<core::result<endpoint_status>> http_engine::status()
{
    core::result<http::client_connection> connection = co_await connect();
    if (!connection) {
        co_return connection.error();
    }
    http::request message;
    message.target = "/status";
    const core::result<http::response> answer = co_await connection.value().exchange(
        std::move(message), core::runtime_clock::now() + poll_timeout);
    if (!answer) {
        co_return answer.error();
    }
    if (answer.value().status != 200) {
        co_return error{errc::unavailable, "the endpoint is not healthy"};
    }
    co_return parse_status(answer.value().body);
}

core::task<core::result<std::string>> http_engine::order(std::string body,
                                                         core::time_point deadline)
{
    core::result<http::client_connection> connection = co_await connect();
    if (!connection) {
        co_return connection.error();
    }
    http::request message;
    message.method = "POST";
    message.target = "/orders";
    message.body = std::move(body);
    const core::result<http::response> answer =
        co_await connection.value().exchange(std::move(message), deadline);
    if (!answer) {
        co_return answer.error();
    }
    if (answer.value().status != 200) {
        co_return error{errc::refused, answer.value().body};
    }
    co_return answer.value().body;
}

} // namespace currantpitch::endpoints
