#include "proxy/connectionpool.h"

#include "proxy/proxyconstants.h"

namespace currantpitch::proxy {

std::optional<http::client_connection>
connection_pool::acquire(const core::endpoint_id& endpoint, std::chrono::milliseconds max_idle_time)
{
    const auto found = idle_.find(endpoint);
    if (found == idle_.end()) {
        return std::nullopt;
    }
    const core::time_point now = core::runtime_clock::now();
    std::deque<idle_connection>& connections = found->second;
    while (!connections.empty()) {
        idle_connection newest = std::move(connections.back());
        connections.pop_back();
        if (newest.expires_at < now || !newest.connection.still_idle()) {
            continue;
        }
        if (now - newest.idle_since > max_idle_time) {
            connections.push_back(std::move(newest));
            return std::nullopt;
        }
        return std::move(newest.connection);
    }
    return std::nullopt;
}

void connection_pool::release(const core::endpoint_id& endpoint, http::client_connection connection,
                              std::chrono::milliseconds keep_alive_timeout)
{
    const core::time_point now = core::runtime_clock::now();
    std::deque<idle_connection>& connections = idle_[endpoint];
    connections.push_back({std::move(connection), now, now + keep_alive_timeout});
    if (connections.size() > max_idle_per_endpoint) {
        connections.pop_front();
    }
}

void connection_pool::expire(core::time_point now)
{
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [now](const idle_connection& c) { return c.expires_at < now; });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

std::size_t connection_pool::size() const
{
    std::size_t total = 0;
    for (const std::pair<const core::endpoint_id, std::deque<idle_connection>>& entry : idle_) {
        total += entry.second.size();
    }
    return total;
}

} // namespace currantpitch::proxy
