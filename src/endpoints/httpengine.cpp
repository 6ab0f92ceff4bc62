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

core::task<core::result<http::client_connection>> http_engine::connected()
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
    core::result<http::client_connection> connection = co_await connected();
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
    work_end how;
    how.state = end_state::failed;
    const core::time_point deadline = core::runtime_clock::now() + work.time_left;
    http::request message;
    message.method = "POST";
    message.target = "/v1/completions";
    message.headers.push_back({"X-Resume-From", std::to_string(work.resume_from)});
    message.body = work.body;
    const core::result<http::response> head =
        co_await connection.open_stream(std::move(message), deadline);
    if (!head || head.value().status != 200) {
        how.detail = head ? "the engine answered " + std::to_string(head.value().status)
                          : head.error().detail;
        co_return how;
    }
    http::record_splitter records("\n\n");
    while (true) {
        const core::time_point silence = core::runtime_clock::now() + stream_silence_limit;
        const core::result<std::string> piece =
            co_await connection.read_some(std::min(deadline, silence));
        if (!piece || piece.value().empty()) {
            how.detail = piece ? "the stream ended without its final event" : piece.error().detail;
            co_return how;
        }
        records.add(piece.value());
        for (std::optional<std::string> record = records.next(); record; record = records.next()) {
            core::result<engine_event> event = parse_event(*record);
            if (!event) {
                how.detail = event.error().detail;
                co_return how;
            }
            if (event.value().done) {
                how.state = end_state::finished;
                how.count = event.value().count;
                co_return how;
            }
            const bool wanted =
                co_await sink.put(event.value().offset, std::move(event.value().token));
            if (!wanted) {
                how.state = end_state::cancelled;
                co_return how;
            }
        }
    }
}

core::task<core::result<endpoint_status>> http_engine::status()
{
    core::result<http::client_connection> connection = co_await connected();
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
    core::result<http::client_connection> connection = co_await connected();
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
