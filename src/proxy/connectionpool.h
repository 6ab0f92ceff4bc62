#pragma once

#include "core/identifiers.h"
#include "http/clientconnection.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>

namespace currantpitch::proxy {

/// Pool of idle connections to endpoints. The most recently used one is reused first. Connections
/// that have data to read or whose keep-alive timeout has passed are closed.
class connection_pool {
public:
    /// Removes and returns a connection that has been idle for at most max_idle_time. Returns
    /// nullopt if there is none.
    std::optional<http::client_connection> acquire(const core::endpoint_id& endpoint,
                                                   std::chrono::milliseconds max_idle_time);
    /// Adds a connection whose last answer was read completely. It expires after the timeout.
    void release(const core::endpoint_id& endpoint, http::client_connection connection,
                 std::chrono::milliseconds keep_alive_timeout);
    /// Closes the endpoint's idle connections.
    void drop(const core::endpoint_id& endpoint) { idle_.erase(endpoint); }
    /// Closes the connections whose keep-alive timeout has passed.
    void expire(core::time_point now);
    /// Number of idle connections to all endpoints.
    std::size_t size() const;

private:
    struct idle_connection {
        http::client_connection connection;
        core::time_point idle_since;
        core::time_point expires_at;
    };

    std::map<core::endpoint_id, std::deque<idle_connection>> idle_;
};

} // namespace currantpitch::proxy
