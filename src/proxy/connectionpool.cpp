#include "proxy/connectionpool.h"

#include "proxy/proxyconstants.h"

namespace currantpitch::proxy {

std::optional<http::client_connection> connection_pool::take(const core::endpoint_id& endpoint,
                                                             std::chrono::milliseconds most_idle)
{
    const auto found = idle_.find(endpoint);
    if (found == idle_.end()) {
        return std::nullopt;
    }
    const core::time_point now = core::runtime_clock::now();
    std::deque<idle_connection>& kept = found->second;
    while (!kept.empty()) {
        idle_connection newest = std::move(kept.back());
        kept.pop_back();
        if (newest.until < now || !newest.connection.still_idle()) {
            continue;
        }
        if (now - newest.since > most_idle) {
            kept.push_back(std::move(newest));
            return std::nullopt;
        }
        return std::move(newest.connection);
    }
    return std::nullopt;
}

void connection_pool::keep(const core::endpoint_id& endpoint, http::client_connection connection,
                           std::chrono::milliseconds idle_time)
{
    const core::time_point now = core::runtime_clock::now();
    std::deque<idle_connection>& kept = idle_[endpoint];
    kept.push_back({std::move(connection), now, now + idle_time});
    if (kept.size() > max_idle_per_endpoint) {
        kept.pop_front();
    }
}

void connection_pool::expire(core::time_point now)
{
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [now](const idle_connection& c) { return c.until < now; });
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
