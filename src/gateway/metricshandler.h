#pragma once

#include "core/counters.h"
#include "http/serverconnection.h"

namespace currantpitch::gateway {

/// Serves counters, gauges and histograms in the Prometheus text format.
struct metrics_handler {
    core::task<void> operator()(http::server_connection& c, const http::request&)
    {
        http::response answer;
        answer.content_type = "text/plain; version=0.0.4";
        answer.body = core::metrics_text();
        co_await c.reply(std::move(answer));
    }
};

} // namespace currantpitch::gateway
