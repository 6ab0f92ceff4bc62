#pragma once

// The part of endpoint_attempt that ends attempts which are silent or out of time.
#include "proxy/endpointattempt.h"

namespace currantpitch::proxy {

template <proxy_dialect Dialect>
bool endpoint_attempt<Dialect>::is_silent(const http::client_connection& connection) const
{
    const core::time_point now = core::runtime_clock::now();
    return routes::may_retry(routed_.route->retry) && !answer_.writing() &&
           now - last_activity_ > idle_timeout(now) && !connection.has_unread_bytes() &&
           next_.possible();
}

template <proxy_dialect Dialect>
core::duration endpoint_attempt<Dialect>::idle_timeout(core::time_point now) const
{
    if (!stream()) {
        const core::duration answer_timeout = std::chrono::duration_cast<core::duration>(
            routed_.request.timeout * answer_timeout_fraction);
        return std::max<core::duration>(answer_timeout, min_answer_timeout);
    }
    const bool other_streams_progress = now - service_.last_progress < max_service_progress_age;
    if (!other_streams_progress) {
        // When all streams of a service pause, its group stands still. Another rank of it would
        // only get the request later, perhaps when its caller has left.
        return service_.running_streams > 1 ? core::duration::max() : stream_idle_timeout;
    }
    return answer_.begun() ? stream_idle_timeout_if_others_progress
                           : first_event_timeout_if_others_progress;
}

template <proxy_dialect Dialect>
core::task<std::string_view>
endpoint_attempt<Dialect>::watch_timeouts(const http::client_connection& connection)
{
    while (true) {
        if (core::runtime_clock::now() >= deadline()) {
            co_return deadline() < deadline_ ? "stopping" : "out_of_time";
        }
        if (is_silent(connection)) {
            const bool acquired = co_await next_.acquire_slot();
            // The endpoint may have gone on meanwhile.
            if (acquired && is_silent(connection)) {
                co_return "silent";
            }
            next_.release_slot();
        }
        core::timer timer(context_.executor);
        co_await timer.wait_until(
            std::min(deadline(), core::runtime_clock::now() + watchdog_interval));
    }
}

} // namespace currantpitch::proxy
