#pragma once

#include "core/hashing.h"
#include "proxy/requestflow.h"

#include <limits>

namespace currantpitch::proxy {

/// Reads what callers ask, decides where it goes and has it carried out. Meets the handler of
/// http::serve.
template <proxy_dialect Dialect>
class caller_front {
public:
    explicit caller_front(proxy_context& context) : context_(context) {}

    core::task<void> operator()(http::server_connection& caller, http::request received);

private:
    struct verdict {
        std::optional<routed_request> routed;
        refusal refused;
    };

    verdict judge(const caller_request& request) const;
    core::task<void> carry_out(http::server_connection& caller, routed_request routed);

    proxy_context& context_;
};

template <proxy_dialect Dialect>
typename caller_front<Dialect>::verdict
caller_front<Dialect>::judge(const caller_request& request) const
{
    const std::shared_ptr<const routes::route_table>& table = context_.configuration.table();
    if (!table) {
        return {std::nullopt, {503, "no_configuration", std::nullopt}};
    }
    const routes::route* const route = table->match(request.host, request.message.path());
    if (route == nullptr) {
        return {std::nullopt, {404, "no_route", std::nullopt}};
    }
    const routes::workspace* holder = nullptr;
    if (table->has_workspaces() && !route->allow_anonymous) {
        // Judged after the request was read, so that a key which was taken away before it was
        // sent cannot be trusted for longer than the bound.
        if (context_.configuration.age() > context_.bounds.max_configuration_age) {
            return {std::nullopt, {503, "keys_too_old", std::nullopt}};
        }
        holder = request.key ? table->workspace_of_key(*request.key) : nullptr;
        if (holder == nullptr) {
            return {std::nullopt, {401, "unknown_key", std::nullopt}};
        }
    }
    const double draw = static_cast<double>(core::hash64(request.id)) /
                        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const core::service_id* const service = routes::choose_service(*route, draw);
    if (service == nullptr) {
        return {std::nullopt, {503, "no_service", std::nullopt}};
    }
    routed_request routed;
    routed.request = request;
    routed.table = table;
    routed.route = route;
    routed.workspace = holder;
    routed.service = *service;
    routed.arrived = core::runtime_clock::now();
    routed.configuration_age = context_.configuration.age();
    return {std::move(routed), {}};
}

template <proxy_dialect Dialect>
core::task<void> caller_front<Dialect>::operator()(http::server_connection& caller,
                                                   http::request received)
{
    if (context_.stopping) {
        caller.close_after_response();
    }
    const std::shared_ptr<const routes::route_table>& table = context_.configuration.table();
    if (table) {
        caller.set_limits({table->limits().header_bytes, table->limits().body_bytes,
                           table->limits().idle_timeout});
    }
    core::result<caller_request> request = Dialect::read_request(std::move(received));
    if (!request) {
        core::log_event("request_malformed").field("reason", request.error().detail);
        const caller_request unknown;
        const refusal malformed{400, "malformed", std::nullopt};
        http::response answer = Dialect::write_refusal(unknown, malformed);
        co_await caller.reply(std::move(answer));
        co_return;
    }
    verdict v = judge(request.value());
    if (!v.routed) {
        core::counter_for("requests_total", "outcome=\"" + std::to_string(v.refused.status) + "\"")
            .add();
        core::log_event("request_refused")
            .field("request", request.value().id)
            .field("host", request.value().host)
            .field("path", request.value().message.path())
            .field("status", v.refused.status)
            .field("reason", v.refused.reason)
            .field("configuration", table ? table->version().value : 0)
            .field("configuration_age_ms", core::to_milliseconds(context_.configuration.age()));
        if (v.refused.status == 503) {
            v.refused.retry_after = unready_retry_after;
        }
        http::response answer = Dialect::write_refusal(request.value(), v.refused);
        co_await caller.reply(std::move(answer));
        co_return;
    }
    co_await carry_out(caller, std::move(*v.routed));
}

template <proxy_dialect Dialect>
core::task<void> caller_front<Dialect>::carry_out(http::server_connection& caller,
                                                  routed_request routed)
{
    using namespace core::asio::experimental::awaitable_operators;
    struct count_guard {
        std::size_t& count;
        explicit count_guard(std::size_t& c) : count(c) { ++count; }
        count_guard(const count_guard&) = delete;
        count_guard& operator=(const count_guard&) = delete;
        ~count_guard() { --count; }
    };
    const count_guard counted(context_.in_flight);
    request_flow<Dialect> flow(context_, caller, std::move(routed));
    const std::variant<std::monostate, std::monostate> first =
        co_await (flow.run() || caller.wait_for_close());
    if (first.index() == 1) {
        flow.log_abandoned();
        caller.close();
    }
}

} // namespace currantpitch::proxy
