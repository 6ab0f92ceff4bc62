#include "fakes/storeserver.h"

#include "core/text.h"
#include "objectstore/internal/storecodec.h"
#include "objectstore/objectstoreconstants.h"

namespace currantpitch::fakes {

namespace {

objectstore::call_context server_call()
{
    return {"http", core::runtime_clock::now() + objectstore::call_timeout};
}

std::vector<std::string> requested_kinds(const http::request& received)
{
    return core::split(received.query("kinds").value_or(""), ',');
}

core::revision revision_parameter(const http::request& received, std::string_view name)
{
    return core::revision{std::strtoull(received.query(name).value_or("0").c_str(), nullptr, 10)};
}

http::response error_response(const core::error& e)
{
    http::response answer;
    switch (e.code) {
    case core::errc::not_found:
        answer.status = 404;
        break;
    case core::errc::conflict:
        answer.status = 409;
        break;
    case core::errc::stale:
        answer.status = 410;
        break;
    default:
        answer.status = 503;
        break;
    }
    return answer;
}

} // namespace

core::task<void> store_server::operator()(http::server_connection& connection,
                                          const http::request& received)
{
    if (received.path() == "/faults") {
        set_faults(received);
        http::response done;
        co_await connection.reply(std::move(done));
    }
    else if (received.path() == "/watch") {
        co_await handle_watch(connection, received);
    }
    else if (received.path() == "/objects") {
        const core::result<objectstore::listing> found =
            co_await store_.list(requested_kinds(received), server_call());
        http::response answer = found ? http::response{} : error_response(found.error());
        if (found) {
            answer.body = objectstore::to_json(found.value());
        }
        co_await connection.reply(std::move(answer));
    }
    else {
        co_await handle_object(connection, received);
    }
}

core::task<void> store_server::handle_object(http::server_connection& connection,
                                             const http::request& received)
{
    // Path form: /objects/KIND/NAME
    http::request parts;
    const std::string path(received.path());
    const std::size_t slash = path.find('/', 9);
    parts.target = "/?kind=" + path.substr(9, slash - 9) + "&name=" + path.substr(slash + 1);
    const objectstore::object_key key{*parts.query("kind"), *parts.query("name")};
    const core::revision expected = revision_parameter(received, "version");
    core::result<objectstore::object> outcome = core::error{};
    if (received.method == "PUT") {
        outcome = co_await store_.put(key, received.body, expected, server_call());
    }
    else if (received.method == "DELETE") {
        outcome = co_await store_.remove(key, expected, server_call());
    }
    else {
        outcome = co_await store_.get(key, server_call());
    }
    if (!outcome && outcome.error().code == core::errc::timeout) {
        connection.close();
        co_return;
    }
    http::response answer = outcome ? http::response{} : error_response(outcome.error());
    if (outcome) {
        answer.body = objectstore::to_json(outcome.value());
    }
    co_await connection.reply(std::move(answer));
}

core::task<void> store_server::handle_watch(http::server_connection& connection,
                                            const http::request& received)
{
    core::result<memory_watch> opened = co_await store_.watch(
        requested_kinds(received), revision_parameter(received, "from"), server_call());
    if (!opened) {
        http::response answer = error_response(opened.error());
        co_await connection.reply(std::move(answer));
        co_return;
    }
    co_await connection.begin_stream("application/json");
    core::result<objectstore::watch_event> event =
        co_await opened.value().next(core::runtime_clock::now() + std::chrono::hours(1));
    while (event) {
        const core::result<void> written =
            co_await connection.write_chunk(objectstore::to_json(event.value()) + "\n");
        if (!written) {
            co_return;
        }
        event = co_await opened.value().next(core::runtime_clock::now() + std::chrono::hours(1));
    }
    connection.close();
}

void store_server::set_faults(const http::request& received)
{
    store_.faults.unavailable = received.query("away") == "1";
    store_.faults.watches_silent = received.query("silent") == "1";
    store_.faults.responses_to_drop =
        static_cast<unsigned>(revision_parameter(received, "lose_answers").value);
    store_.faults.delay = std::chrono::milliseconds(revision_parameter(received, "delay_ms").value);
}

} // namespace currantpitch::fakes
