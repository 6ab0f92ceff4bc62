#pragma once

// The handlers of gateway_node for address queries and readiness checks.
#include "gateway/gatewaynode.h"

namespace currantpitch::gateway {

template <site_platform Site>
core::task<void> gateway_node<Site>::address_handler::operator()(http::server_connection& c,
                                                                 const http::request& r)
{
    const core::result<directory_query> query = Site::read_query(r);
    if (!query) {
        http::response answer;
        answer.status = 404;
        co_await c.reply(std::move(answer));
        co_return;
    }
    std::vector<std::string> addresses = node.roster_.addresses(
        query.value().caller_failure_domain, node.ready(), core::runtime_clock::now());
    if (addresses.empty()) {
        // The answer always has an address, if necessary that of this entry.
        const settings::address& own = node.settings_.caller_address;
        addresses.push_back(own.address().to_string() + ":" + std::to_string(own.port()));
    }
    core::counter_for("address_answers_total").add();
    http::response answer = Site::write_addresses(addresses, address_lifetime);
    co_await c.reply(std::move(answer));
}

template <site_platform Site>
core::task<void> gateway_node<Site>::readiness_handler::operator()(http::server_connection& c,
                                                                   const http::request&)
{
    http::response answer;
    answer.status = node.ready() ? 200 : 503;
    answer.body = "{}";
    co_await c.reply(std::move(answer));
}

} // namespace currantpitch::gateway
