#pragma once

#include "core/identifiers.h"
#include "http/clientconnection.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>

namespace currantpitch::proxy {

/// Idle connections to endpoints, newest first out. One that has anything to read, or is older
/// than the endpoint keeps it, is closed.
class connection_pool {
public:
    /// A connection that was used no longer ago than that; nothing without any.
    std::optional<http::client_connection> take(const core::endpoint_id& endpoint,
                                                std::chrono::milliseconds most_idle);
    /// Keeps a connection whose last answer was read whole, for as long as the endpoint does.
    void keep(const core::endpoint_id& endpoint, http::client_connection connection,
              std::chrono::milliseconds idle_time);
    /// Closes what is kept for the endpoint.
    void drop(const core::endpoint_id& endpoint) { idle_.erase(endpoint); }
    /// Closes everything that has been idle for too long.
    void expire(core::time_point now);
    std::size_t size() const;

private:
    struct idle_connection {
        http::client_connection connection;
        core::time_point since;
        core::time_point until;
    };

    std::map<core::endpoint_id, std::deque<idle_connection>> idle_;
};

} // namespace currantpitch::proxy
