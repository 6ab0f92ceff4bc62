#include "load/callerclient.h"

#include "core/hashing.h"
#include "load/loadconstants.h"
#include "wire/framedconnection.h"

#include <boost/json.hpp>

namespace currantpitch::load {

namespace json = boost::json;

namespace {

std::optional<json::object> parse_json_object(std::string_view text)
{
    boost::system::error_code failure;
    json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.as_object());
}

request_outcome outcome_of(const http::response& answer)
{
    const std::string header = answer.header_value("X-Outcome").value_or("");
    if (header == "whole") {
        return request_outcome::whole;
    }
    return header == "not_run" ? request_outcome::not_run : request_outcome::unknown;
}

core::duration retry_after(const http::response& answer)
{
    const std::string text = answer.header_value("X-Retry-After-Ms").value_or("50");
    return std::chrono::milliseconds(std::strtoll(text.c_str(), nullptr, 10));
}

} // namespace

core::task<std::string> address_book::address_for(std::string workspace, std::mt19937_64& random)
{
    const core::time_point now = core::runtime_clock::now();
    if (!cache_.contains(workspace) || cache_[workspace].expires <= now) {
        std::vector<std::string> servers = cache_[workspace].addresses;
        servers.insert(servers.end(), seed_servers_.begin(), seed_servers_.end());
        for (const std::string& server : servers) {
            if (co_await query_addresses(server, workspace)) {
                break;
            }
        }
    }
    const std::vector<std::string>& addresses = cache_[workspace].addresses;
    if (addresses.empty()) {
        co_return std::string();
    }
    co_return addresses[random() % addresses.size()];
}

core::task<bool> address_book::query_addresses(std::string server, std::string workspace)
{
    const core::time_point deadline = core::runtime_clock::now() + std::chrono::seconds(2);
    http::client_connection client(co_await core::asio::this_coro::executor);
    const core::result<core::asio::ip::tcp::endpoint> address = wire::parse_address(server);
    const core::result<void> connected = co_await client.connect(address.value(), deadline);
    if (!connected) {
        co_return false;
    }
    http::request message;
    message.target = "/v1/addresses?workspace=" + http::percent_encode(workspace);
    const core::result<http::response> response =
        co_await client.exchange(std::move(message), deadline);
    const std::optional<json::object> body = response && response.value().status == 200
                                                 ? parse_json_object(response.value().body)
                                                 : std::nullopt;
    if (!body) {
        co_return false;
    }
    cached_addresses updated;
    for (const json::value& a : body->at("addresses").as_array()) {
        updated.addresses.emplace_back(a.as_object().at("address").as_string());
    }
    updated.expires =
        core::runtime_clock::now() + std::chrono::milliseconds(body->at("lifetime_ms").as_int64());
    cache_[workspace] = std::move(updated);
    co_return true;
}

core::task<http::client_connection*> caller::connection()
{
    address_ = co_await addresses_.address_for(workspace_, random_);
    if (address_.empty()) {
        co_return nullptr;
    }
    const auto cached = connections_.find(address_);
    if (cached != connections_.end() && cached->second.is_open()) {
        co_return &cached->second;
    }
    http::client_connection opened(co_await core::asio::this_coro::executor);
    const core::result<core::asio::ip::tcp::endpoint> address = wire::parse_address(address_);
    const core::result<void> connected = co_await opened.connect(
        address.value(), core::runtime_clock::now() + std::chrono::seconds(2));
    if (!connected) {
        addresses_.forget(workspace_);
        co_return nullptr;
    }
    connections_.insert_or_assign(address_, std::move(opened));
    co_return &connections_.at(address_);
}

void caller::drop_connection()
{
    connections_.erase(address_);
}

core::task<void> caller::generate(std::uint64_t count, std::uint64_t tokens)
{
    for (std::uint64_t i = 0; i < count; ++i) {
        const std::string prompt = workspace_ + " question " + std::to_string(random_() % 50) +
                                   " of " + std::to_string(random_());
        request_outcome outcome = co_await generate_once(prompt, tokens);
        for (int attempts = 1; attempts < max_attempts && (outcome == request_outcome::not_run ||
                                                           outcome == request_outcome::unreachable);
             ++attempts) {
            report_.count_retry();
            outcome = co_await generate_once(prompt, tokens);
        }
        report_.count_outcome(outcome);
    }
}

core::task<request_outcome> caller::generate_once(std::string prompt, std::uint64_t tokens)
{
    http::client_connection* const client = co_await connection();
    if (client == nullptr) {
        co_await core::sleep_for(std::chrono::milliseconds(100));
        co_return request_outcome::unreachable;
    }
    http::request message;
    message.method = "POST";
    message.target = "/v1/generate";
    message.headers.push_back({"X-Workspace", workspace_});
    message.body = json::serialize(json::object{{"prompt", prompt}, {"max_tokens", tokens}});
    const core::time_point started_at = core::runtime_clock::now();
    const core::result<http::response> head =
        co_await client->open_stream(std::move(message), started_at + response_timeout);
    if (!head) {
        drop_connection();
        // The server may have closed the connection before the request arrived. A generation is
        // idempotent, so it is retried and counted by its last outcome.
        co_return request_outcome::not_run;
    }
    if (head.value().status == 200) {
        co_return co_await read_answer(*client, tokens, started_at);
    }
    const core::duration retry_delay = retry_after(head.value());
    core::result<std::string> rest =
        co_await client->read_some(core::runtime_clock::now() + response_timeout);
    while (rest && !rest.value().empty()) {
        rest = co_await client->read_some(core::runtime_clock::now() + response_timeout);
    }
    if (!rest || head.value().header_value("Connection").value_or("") == "close") {
        drop_connection();
    }
    co_await core::sleep_for(retry_delay);
    co_return outcome_of(head.value());
}

core::task<request_outcome> caller::read_answer(http::client_connection& client,
                                                std::uint64_t tokens, core::time_point started_at)
{
    http::record_splitter records("\n\n");
    core::answer_checksum checksum;
    std::uint64_t received = 0;
    std::optional<json::object> done;
    core::time_point last = started_at;
    bool offsets_in_order = true;
    while (true) {
        const core::result<std::string> piece =
            co_await client.read_some(core::runtime_clock::now() + response_timeout);
        if (!piece) {
            drop_connection();
            co_return request_outcome::cut_off;
        }
        if (piece.value().empty()) {
            break;
        }
        records.add(piece.value());
        for (std::optional<std::string> record = records.next(); record; record = records.next()) {
            const std::size_t data = record->find("data: ");
            const std::optional<json::object> event = parse_json_object(record->substr(data + 6));
            if (record->starts_with("event: done")) {
                done = event;
                continue;
            }
            const core::time_point now = core::runtime_clock::now();
            if (received == 0) {
                report_.add_first_token_time(now - started_at);
            }
            else {
                report_.add_token_interval(now - last);
            }
            last = now;
            offsets_in_order =
                offsets_in_order && event->at("offset").to_number<std::uint64_t>() == received;
            checksum.add(std::string(event->at("token").as_string()));
            ++received;
        }
    }
    if (!done) {
        co_return request_outcome::cut_off;
    }
    const bool matches = offsets_in_order && received == tokens &&
                         done->at("count").to_number<std::uint64_t>() == tokens &&
                         done->at("checksum").as_string() == std::to_string(checksum.value());
    co_return matches ? request_outcome::whole : request_outcome::wrong;
}

core::task<void> caller::call(std::uint64_t count, std::string service, std::string prefix)
{
    for (std::uint64_t i = 0; i < count; ++i) {
        const std::string key = prefix + "-" + std::to_string(i);
        const core::time_point started_at = core::runtime_clock::now();
        request_outcome outcome = co_await call_once(service, key);
        for (int attempts = 1; attempts < max_attempts && outcome != request_outcome::whole;
             ++attempts) {
            // A call with the same key runs at most once, so it is retried after any outcome.
            report_.count_retry();
            outcome = co_await call_once(service, key);
            if (outcome == request_outcome::unknown && attempts > 5) {
                break;
            }
        }
        report_.add_call_time(core::runtime_clock::now() - started_at);
        report_.count_outcome(outcome);
    }
}

core::task<request_outcome> caller::call_once(std::string service, std::string key)
{
    http::client_connection* const client = co_await connection();
    if (client == nullptr) {
        co_await core::sleep_for(std::chrono::milliseconds(100));
        co_return request_outcome::unreachable;
    }
    http::request message;
    message.method = "POST";
    message.target = "/v1/call/" + service + "/bookings";
    message.headers.push_back({"X-Workspace", workspace_});
    message.headers.push_back({"Idempotency-Key", key});
    message.body = key;
    const core::result<http::response> answer = co_await client->exchange(
        std::move(message), core::runtime_clock::now() + response_timeout);
    if (!answer) {
        drop_connection();
        co_return request_outcome::unknown;
    }
    if (answer.value().header_value("Connection").value_or("") == "close") {
        drop_connection();
    }
    const request_outcome outcome = outcome_of(answer.value());
    if (outcome == request_outcome::not_run) {
        const core::duration retry_delay = retry_after(answer.value());
        co_await core::sleep_for(retry_delay);
    }
    co_return outcome;
}

} // namespace currantpitch::load
