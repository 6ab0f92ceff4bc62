#pragma once

#include "core/hashing.h"
#include "proxy/requestfingerprint.h"
#include "proxy/requestflow.h"

#include <limits>

namespace currantpitch::proxy {

/// Reads the callers' requests, selects route and service and forwards them. Serves as the handler
/// of http::serve.
template <proxy_dialect Dialect>
class request_handler {
public:
    explicit request_handler(proxy_context& context) : context_(context) {}

    core::task<void> operator()(http::server_connection& caller, http::request received);
    /// Limits of the configuration in force, or the defaults until there is one.
    http::server_limits limits() const;

private:
    /// The route of a request, whose message the caller of route_request adds, or a refusal.
    struct routing_decision {
        std::optional<routed_request> routed;
        refusal refused;
    };

    routing_decision route_request(const caller_request& request) const;
    /// Whether a planned stop may end the request before its deadline, and the caller's addresses
    /// lead elsewhere by now.
    bool may_outlast_stop(const caller_request& request, const routes::route& route) const;
    core::task<void> forward(http::server_connection& caller, routed_request routed);

    proxy_context& context_;
};

template <proxy_dialect Dialect>
typename request_handler<Dialect>::routing_decision
request_handler<Dialect>::route_request(const caller_request& request) const
{
    const std::shared_ptr<const routes::route_table>& table = context_.configuration.table();
    if (!table) {
        return {std::nullopt, {503, "no_configuration", std::nullopt}};
    }
    const routes::route* const route = table->match(request.host, request.message.path());
    if (route == nullptr) {
        return {std::nullopt, {404, "no_route", std::nullopt}};
    }
    if (may_outlast_stop(request, *route)) {
        return {std::nullopt, {503, "stopping", std::nullopt}};
    }
    const routes::workspace* workspace = nullptr;
    // A caller that sends a key to a public route is known to the endpoint all the same.
    const bool key_counts = !route->allow_anonymous || request.key;
    if (table->access_to_routes() != routes::access::open && key_counts) {
        // Checked after the request was read, so that a key that was revoked before the request
        // was sent is not accepted for longer than the bound.
        if (context_.configuration.age() > context_.bounds.max_configuration_age) {
            return {std::nullopt, {503, "keys_too_old", std::nullopt}};
        }
        workspace = request.key ? table->workspace_of_key(*request.key) : nullptr;
        if (workspace == nullptr) {
            return {std::nullopt, {401, "unknown_key", std::nullopt}};
        }
    }
    const double sample = static_cast<double>(core::hash64(request.id)) /
                          static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const core::service_id* const service = routes::choose_service(*route, sample);
    if (service == nullptr) {
        return {std::nullopt, {503, "no_service", std::nullopt}};
    }
    routed_request routed;
    routed.fingerprint = fingerprint_of(request, workspace);
    routed.table = table;
    routed.route = route;
    routed.workspace = workspace;
    routed.service = *service;
    routed.arrived = core::runtime_clock::now();
    routed.configuration_age = context_.configuration.age();
    return {std::move(routed), {}};
}

template <proxy_dialect Dialect>
bool request_handler<Dialect>::may_outlast_stop(const caller_request& request,
                                                const routes::route& route) const
{
    const core::time_point now = core::runtime_clock::now();
    return context_.stop_deadline && now >= context_.stop_refuses_from &&
           now + std::min(request.timeout, route.timeout) > *context_.stop_deadline;
}

template <proxy_dialect Dialect>
http::server_limits request_handler<Dialect>::limits() const
{
    const std::shared_ptr<const routes::route_table>& table = context_.configuration.table();
    return table ? http::server_limits{table->limits().header_bytes, table->limits().body_bytes,
                                       table->limits().idle_timeout, &context_.request_bodies}
                 : http::server_limits{.bodies = &context_.request_bodies};
}

template <proxy_dialect Dialect>
core::task<void> request_handler<Dialect>::operator()(http::server_connection& caller,
                                                      http::request received)
{
    if (context_.stopping) {
        caller.close_after_response();
    }
    const std::shared_ptr<const routes::route_table>& table = context_.configuration.table();
    core::result<caller_request> request = Dialect::read_request(std::move(received));
    if (!request) {
        core::log_event("request_malformed").field("reason", request.error().detail);
        const caller_request empty_request;
        const refusal malformed{400, "malformed", std::nullopt};
        http::response answer = Dialect::write_refusal(empty_request, malformed);
        co_await caller.reply(std::move(answer));
        co_return;
    }
    routing_decision decision = route_request(request.value());
    if (!decision.routed) {
        core::counter_for("requests_total",
                          "outcome=\"" + std::to_string(decision.refused.status) + "\"")
            .add();
        core::log_event("request_refused")
            .field("request", request.value().id)
            .field("host", request.value().host)
            .field("path", request.value().message.path())
            .field("status", decision.refused.status)
            .field("reason", decision.refused.reason)
            .field("configuration", table ? table->version().value : 0)
            .field("configuration_age_ms", core::to_milliseconds(context_.configuration.age()));
        if (decision.refused.status == 503) {
            decision.refused.retry_after = unready_retry_after;
        }
        http::response answer = Dialect::write_refusal(request.value(), decision.refused);
        co_await caller.reply(std::move(answer));
        co_return;
    }
    // Moved, as the body may be large and is kept until the request ends.
    decision.routed->request = std::move(request.value());
    co_await forward(caller, std::move(*decision.routed));
}

template <proxy_dialect Dialect>
core::task<void> request_handler<Dialect>::forward(http::server_connection& caller,
                                                   routed_request routed)
{
    using namespace core::asio::experimental::awaitable_operators;
    struct in_flight_guard {
        std::size_t& count;
        explicit in_flight_guard(std::size_t& c) : count(c) { ++count; }
        in_flight_guard(const in_flight_guard&) = delete;
        in_flight_guard& operator=(const in_flight_guard&) = delete;
        ~in_flight_guard() { --count; }
    };
    const in_flight_guard guard(context_.in_flight);
    request_flow<Dialect> flow(context_, caller, std::move(routed));
    const std::variant<std::monostate, std::monostate> first =
        co_await (flow.run() || caller.wait_for_close());
    if (first.index() == 1) {
        flow.log_abandoned();
        caller.close();
    }
}

} // namespace currantpitch::proxy
