#include "objectstore/httpstore.h"

#include "core/counters.h"
#include "objectstore/internal/storecodec.h"
#include "objectstore/objectstoreconstants.h"

namespace currantpitch::objectstore {

using core::errc;
using core::error;

namespace {

std::string path_of(const object_key& key)
{
    return "/objects/" + http::percent_encode(key.kind) + "/" + http::percent_encode(key.name);
}

std::string joined(const std::vector<std::string>& kinds)
{
    std::string text;
    for (const std::string& kind : kinds) {
        text += (text.empty() ? "" : ",") + kind;
    }
    return http::percent_encode(text);
}

void count(const call_context& call)
{
    core::counter_for("platform_calls_total", "cause=\"" + std::string(call.cause) + "\"").add();
}

error error_of(const http::response& answer)
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

core::task<core::result<http::client_connection>> http_store::connection(core::time_point deadline)
{
    if (!idle_.empty()) {
        http::client_connection kept = std::move(idle_.front());
        idle_.pop_front();
        co_return std::move(kept);
    }
    http::client_connection fresh(executor_);
    const core::result<void> connected = co_await fresh.connect(address_, deadline);
    if (!connected) {
        co_return error{errc::unavailable, connected.error().detail};
    }
    co_return std::move(fresh);
}

core::task<core::result<std::string>> http_store::call(http::request message, call_context call)
{
    count(call);
    core::result<http::client_connection> from = co_await connection(call.deadline);
    if (!from) {
        co_return from.error();
    }
    core::result<http::response> answer =
        co_await from.value().exchange(std::move(message), call.deadline);
    if (!answer) {
        // The other idle connections most likely died with this one.
        idle_.clear();
        co_return answer.error();
    }
    if (from.value().is_open() && idle_.size() < max_idle_connections) {
        idle_.push_back(std::move(from.value()));
    }
    if (answer.value().status != 200) {
        co_return error_of(answer.value());
    }
    co_return std::move(answer.value().body);
}

core::task<core::result<object>> http_store::get(object_key key, call_context context)
{
    http::request message;
    message.target = path_of(key);
    const core::result<std::string> body = co_await call(std::move(message), context);
    if (!body) {
        co_return body.error();
    }
    co_return object_from_json(body.value());
}

core::task<core::result<listing>> http_store::list(std::vector<std::string> kinds,
                                                   call_context context)
{
    http::request message;
    message.target = "/objects?kinds=" + joined(kinds);
    const core::result<std::string> body = co_await call(std::move(message), context);
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
    message.target = path_of(key) + "?version=" + std::to_string(expected.value);
    message.body = std::move(body);
    const core::result<std::string> answer = co_await call(std::move(message), context);
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
    message.target = path_of(key) + "?version=" + std::to_string(expected.value);
    const core::result<std::string> answer = co_await call(std::move(message), context);
    if (!answer) {
        co_return answer.error();
    }
    co_return object_from_json(answer.value());
}

core::task<core::result<http_watch>> http_store::watch(std::vector<std::string> kinds,
                                                       core::revision from, call_context context)
{
    count(context);
    http::client_connection connection(executor_);
    const core::result<void> connected = co_await connection.connect(address_, context.deadline);
    if (!connected) {
        co_return error{errc::unavailable, connected.error().detail};
    }
    http::request message;
    message.target = "/watch?kinds=" + joined(kinds) + "&from=" + std::to_string(from.value);
    const core::result<http::response> head =
        co_await connection.open_stream(std::move(message), context.deadline);
    if (!head) {
        co_return head.error();
    }
    if (head.value().status != 200) {
        co_return error_of(head.value());
    }
    co_return http_watch(std::move(connection));
}

} // namespace currantpitch::objectstore
