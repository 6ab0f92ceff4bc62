#include "objectstore/httpstore.h"

#include "core/counters.h"
#include "objectstore/internal/storecodec.h"
#include "objectstore/objectstoreconstants.h"

namespace currantpitch::objectstore {

using core::errc;
using core::error;

namespace {

std::string object_path(const object_key& key)
{
    return "/objects/" + http::percent_encode(key.kind) + "/" + http::percent_encode(key.name);
}

std::string encode_kinds(const std::vector<std::string>& kinds)
{
    std::string text;
    for (const std::string& kind : kinds) {
        text += (text.empty() ? "" : ",") + kind;
    }
    return http::percent_encode(text);
}

void count_call(const call_context& call)
{
    core::counter_for("platform_calls_total", "cause=\"" + std::string(call.cause) + "\"").add();
}

error error_from_status(const http::response& answer)
{
    switch (answer.status) {
    case 404:
        return {errc::not_found, "no such object"};
    case 409:
        return {errc::conflict, "the object has another version"};
    case 410:
        return {errc::stale, "the store no longer has these changes"};
    case 413:
        return {errc::too_large, "the object is too large"};
    case 429:
    case 503:
        return {errc::unavailable, "the store refused the call"};
    default:
        return {errc::closed, "the store answered " + std::to_string(answer.status)};
    }
}

} // namespace

core::task<core::result<watch_event>> http_watch::next(core::time_point deadline)
{
    std::optional<std::string> line = lines_.next();
    while (!line) {
        const core::result<std::string> piece = co_await connection_.read_some(deadline);
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            co_return error{errc::closed, "the store ended the watch"};
        }
        lines_.add(piece.value());
        line = lines_.next();
    }
    co_return event_from_json(*line);
}

http_store::http_store(const core::asio::any_io_executor& executor,
                       core::asio::ip::tcp::endpoint address)
    : executor_(executor), address_(std::move(address))
{
}

core::task<core::result<http::client_connection>>
http_store::acquire_connection(core::time_point deadline)
{
    if (!idle_connections_.empty()) {
        http::client_connection reused = std::move(idle_connections_.front());
        idle_connections_.pop_front();
        co_return std::move(reused);
    }
    http::client_connection opened_connection(executor_);
    const core::result<void> connected = co_await opened_connection.connect(address_, deadline);
    if (!connected) {
        co_return error{errc::unavailable, connected.error().detail};
    }
    co_return std::move(opened_connection);
}

core::task<core::result<std::string>> http_store::send_request(http::request message,
                                                               call_context context)
{
    count_call(context);
    core::result<http::client_connection> connection =
        co_await acquire_connection(context.deadline);
    if (!connection) {
        co_return connection.error();
    }
    core::result<http::response> answer =
        co_await connection.value().exchange(std::move(message), context.deadline);
    if (!answer) {
        // The other idle connections have most likely failed too.
        idle_connections_.clear();
        co_return answer.error();
    }
    if (connection.value().is_open() && idle_connections_.size() < max_idle_connections) {
        idle_connections_.push_back(std::move(connection.value()));
    }
    if (answer.value().status != 200) {
        co_return error_from_status(answer.value());
    }
    co_return std::move(answer.value().body);
}

core::task<core::result<object>> http_store::get(object_key key, call_context context)
{
    http::request message;
    message.target = object_path(key);
    const core::result<std::string> body = co_await send_request(std::move(message), context);
    if (!body) {
        co_return body.error();
    }
    co_return object_from_json(body.value());
}

core::task<core::result<listing>> http_store::list(std::vector<std::string> kinds,
                                                   call_context context)
{
    http::request message;
    message.target = "/objects?kinds=" + encode_kinds(kinds);
    const core::result<std::string> body = co_await send_request(std::move(message), context);
    if (!body) {
        co_return body.error();
    }
    co_return listing_from_json(body.value());
}

core::task<core::result<object>> http_store::put(object_key key, std::string body,
                                                 core::revision expected, call_context context)
{
    if (body.size() > max_object_bytes) {
        co_return error{errc::too_large, "the object is too large"};
    }
    http::request message;
    message.method = "PUT";
    message.target = object_path(key) + "?version=" + std::to_string(expected.value);
    message.body = std::move(body);
    const core::result<std::string> answer = co_await send_request(std::move(message), context);
    if (!answer) {
        co_return answer.error();
    }
    co_return object_from_json(answer.value());
}

core::task<core::result<object>> http_store::remove(object_key key, core::revision expected,
                                                    call_context context)
{
    http::request message;
    message.method = "DELETE";
    message.target = object_path(key) + "?version=" + std::to_string(expected.value);
    const core::result<std::string> answer = co_await send_request(std::move(message), context);
    if (!answer) {
        co_return answer.error();
    }
    co_return object_from_json(answer.value());
}

core::task<core::result<http_watch>> http_store::watch(std::vector<std::string> kinds,
                                                       core::revision from, call_context context)
{
    count_call(context);
    http::client_connection connection(executor_);
    const core::result<void> connected = co_await connection.connect(address_, context.deadline);
    if (!connected) {
        co_return error{errc::unavailable, connected.error().detail};
    }
    http::request message;
    message.target = "/watch?kinds=" + encode_kinds(kinds) + "&from=" + std::to_string(from.value);
    const core::result<http::response> head =
        co_await connection.open_stream(std::move(message), context.deadline);
    if (!head) {
        co_return head.error();
    }
    if (head.value().status != 200) {
        co_return error_from_status(head.value());
    }
    co_return http_watch(std::move(connection));
}

} // namespace currantpitch::objectstore
