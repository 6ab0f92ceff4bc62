#include "soak/callers.h"

#include "core/timer.h"

#include <cstdlib>

namespace currantpitch::soak {

using namespace platform::standins;

namespace {

/// Timeout for connecting to a gateway and for a complete directory query.
constexpr std::chrono::milliseconds contact_timeout{1000};
/// Time beyond a route's timeout for which a caller waits, so that a late answer is detected.
constexpr std::chrono::milliseconds late_answer_wait{1500};
constexpr std::size_t max_body_bytes = 64 * 1024;
/// Probabilities with which a caller deviates from the plain request.
constexpr double connection_reuse_probability = 0.6;
constexpr double abandon_probability = 0.03;
constexpr double revoked_key_probability = 0.06;
constexpr double removed_route_probability = 0.06;
constexpr double crashing_part_probability = 0.15;
constexpr double crashing_request_probability = 0.05;

} // namespace

caller::caller(caller_environment& environment, guarantee_checker& checker, std::size_t number,
               std::uint64_t seed)
    : environment_(environment), checker_(checker), name_("c" + std::to_string(number)),
      random_(seed), prompt_random_(seed), address_lifetime_(number % 3 == 0 ? 3000 : 1000)
{
}

core::task<void> caller::run()
{
    std::exponential_distribution<double> pause(1.0 /
                                                static_cast<double>(mean_caller_pause.count()));
    while (!environment_.stopping) {
        co_await core::sleep_for(
            std::chrono::milliseconds(static_cast<std::int64_t>(pause(random_))));
        if (core::runtime_clock::now() - fetched_at_ > address_lifetime_) {
            co_await fetch_addresses();
        }
        const std::optional<std::size_t> gateway = pick_gateway();
        if (gateway) {
            co_await make_call(*gateway);
        }
    }
}

core::task<void> caller::fetch_addresses()
{
    for (int attempt = 0; attempt < 3; ++attempt) {
        const gateway_address& gateway =
            environment_.gateways[random_() % environment_.gateways.size()];
        const core::time_point deadline = core::runtime_clock::now() + contact_timeout;
        http::client_connection c(co_await core::asio::this_coro::executor);
        if (!co_await c.connect(gateway.directory, deadline)) {
            continue;
        }
        const core::result<http::response> answer = co_await c.exchange(
            encode_directory_query(environment_.declared.host, gateway.domain), deadline);
        if (!answer) {
            continue;
        }
        const std::vector<std::string> addresses = decode_directory_answer(answer.value());
        if (!addresses.empty()) {
            addresses_ = addresses;
            fetched_at_ = core::runtime_clock::now();
            co_return;
        }
    }
}

std::optional<std::size_t> caller::pick_gateway()
{
    if (addresses_.empty()) {
        return std::nullopt;
    }
    const std::string& address = addresses_[random_() % addresses_.size()];
    for (std::size_t i = 0; i < environment_.gateways.size(); ++i) {
        if (environment_.gateways[i].advertised == address) {
            return i;
        }
    }
    return std::nullopt;
}

std::pair<sent_call, planned_call> caller::next_call(std::size_t gateway)
{
    const bool use_removed_route =
        !environment_.removed_routes.empty() && with_probability(removed_route_probability);
    const std::vector<declared_route>& routes =
        use_removed_route ? environment_.removed_routes : environment_.declared.routes;
    const declared_route& route = routes[random_() % routes.size()];
    const bool use_revoked_key =
        !environment_.revoked_keys.empty() && with_probability(revoked_key_probability);
    const declared_workspace& w =
        environment_.declared.workspaces[random_() % environment_.declared.workspaces.size()];
    const std::vector<std::string>& keys = use_revoked_key ? environment_.revoked_keys : w.keys;

    planned_call call;
    call.request = name_ + "-" + std::to_string(++request_count_);
    call.host = environment_.declared.host;
    call.target = route.path_prefix + "x" + std::to_string(random_() % 8) + "?n=" + call.request;
    call.method = route.retry == declared_route::kind::idempotent ? "GET" : "POST";
    call.body = call.method == "POST" ? std::string(random_() % 400, 'b') : "";
    call.key = keys[random_() % keys.size()];
    call.timeout = route.timeout + late_answer_wait;
    call.streams = route.retry == declared_route::kind::stream;
    if (!environment_.crashing_part.empty() &&
        std::bernoulli_distribution(crashing_part_probability)(prompt_random_)) {
        call.shared_parts.push_back(environment_.crashing_part);
    }
    if (!environment_.crashing_target_end.empty() &&
        std::bernoulli_distribution(crashing_request_probability)(prompt_random_)) {
        // The same request each time but for its id, whoever sends it.
        call.target = route.path_prefix + environment_.crashing_target_end;
        call.body = call.method == "POST" ? environment_.crashing_target_end : "";
        call.key = environment_.declared.workspaces.front().keys.front();
    }
    sent_call sent{call.request, gateway,     call.method,   call.target, call.body,
                   call.key,     route.retry, route.timeout, {}};
    return {std::move(sent), std::move(call)};
}

core::task<core::result<void>> caller::ensure_connected(std::size_t gateway)
{
    const bool reusable = connection_ && connected_gateway_ == gateway && connection_->is_open() &&
                          connection_->still_idle() &&
                          with_probability(connection_reuse_probability);
    if (reusable) {
        co_return core::ok();
    }
    connection_.emplace(co_await core::asio::this_coro::executor);
    connected_gateway_ = gateway;
    co_return co_await connection_->connect(environment_.gateways[gateway].callers,
                                            core::runtime_clock::now() + contact_timeout);
}

core::task<void> caller::make_call(std::size_t gateway)
{
    using namespace core::asio::experimental::awaitable_operators;
    if (!co_await ensure_connected(gateway)) {
        connection_.reset();
        co_return;
    }
    std::pair<sent_call, planned_call> call = next_call(gateway);
    call.first.at = core::runtime_clock::now();
    checker_.on_sent(call.first);
    call_result result;
    if (with_probability(abandon_probability)) {
        result.outcome = call_result::outcome_kind::gave_up;
        const std::chrono::milliseconds abandon_after(random_() % 200);
        std::variant<call_result, std::monostate> first =
            co_await (exchange(call.second) || core::sleep_for(abandon_after));
        if (first.index() == 0) {
            result = std::get<0>(first);
        }
    }
    else {
        result = co_await exchange(call.second);
    }
    result.at = core::runtime_clock::now();
    checker_.on_end(call.first.request, result);
    if (result.outcome != call_result::outcome_kind::answered || !connection_->reusable()) {
        connection_.reset();
    }
}

core::task<call_result> caller::exchange(const planned_call& call)
{
    call_result result;
    const core::time_point deadline = core::runtime_clock::now() + call.timeout;
    if (!co_await connection_->send(encode_call(call), deadline)) {
        result.outcome = call_result::outcome_kind::unsent;
        co_return result;
    }
    const core::result<http::response> head = co_await connection_->read_head(deadline);
    if (!head) {
        result.outcome = head.error().code == core::errc::timeout
                             ? call_result::outcome_kind::gave_up
                             : call_result::outcome_kind::closed;
        if (head.error().code == core::errc::malformed) {
            result.defect = "not HTTP: " + head.error().detail;
        }
        co_return result;
    }
    const answer_headers headers = read_answer_headers(head.value());
    result.outcome = call_result::outcome_kind::answered;
    result.status = head.value().status;
    result.signature = headers.signature;
    if (!headers.request.empty() && headers.request != call.request) {
        result.defect = "answer to " + headers.request;
    }
    if (call.streams && result.status == 200) {
        co_await read_stream(call, deadline, result);
    }
    else {
        co_await read_plain(call, head.value(), deadline, result);
    }
    co_return result;
}

core::task<void> caller::read_plain(const planned_call& call, const http::response&,
                                    core::time_point deadline, call_result& result)
{
    const core::result<std::string> body =
        co_await connection_->read_rest(max_body_bytes, deadline);
    if (!body) {
        result.outcome = body.error().code == core::errc::timeout
                             ? call_result::outcome_kind::gave_up
                             : call_result::outcome_kind::cut;
        co_return;
    }
    if (!result.signature) {
        result.refused_as_suspect =
            result.status == 503 && body.value().find("request_suspected") != std::string::npos;
    }
    if (result.signature && body.value() != plain_body(call.request, *result.signature)) {
        result.defect = "other body, bytes=" + std::to_string(body.value().size());
    }
}

core::task<void> caller::read_stream(const planned_call& call, core::time_point deadline,
                                     call_result& result)
{
    http::record_splitter events("\n\n");
    std::uint64_t last = call.after_event.value_or(0);
    while (true) {
        const core::result<std::string> bytes = co_await connection_->read_some(deadline);
        if (!bytes) {
            result.outcome = bytes.error().code == core::errc::timeout
                                 ? call_result::outcome_kind::gave_up
                                 : call_result::outcome_kind::cut;
            co_return;
        }
        if (bytes.value().empty()) {
            break;
        }
        events.add(bytes.value());
        while (const std::optional<std::string> event = events.next()) {
            ++last;
            const std::string expected =
                "id: " + std::to_string(last) + "\ndata: " + event_data(call.request, last);
            if (*event != expected) {
                result.defect = "event " + std::to_string(last) + " is " + event->substr(0, 60);
            }
        }
    }
    if (last != environment_.stream_events) {
        result.defect = "stream ended without an error after event " + std::to_string(last);
    }
}

} // namespace currantpitch::soak
