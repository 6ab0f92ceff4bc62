#include "backpressure/entrygroup.h"

#include "backpressure/backpressureconstants.h"
#include "core/hashing.h"

#include <algorithm>

namespace currantpitch::backpressure {

void entry_group::set_registered(const std::set<core::host_id>& hosts, core::time_point now)
{
    std::erase_if(absent_since_,
                  [&hosts](const std::pair<const core::host_id, core::time_point>& entry) {
                      return !hosts.contains(entry.first);
                  });
    for (const core::host_id& host : hosts) {
        if (host != self_ && !reachable_.contains(host)) {
            absent_since_.try_emplace(host, now);
        }
    }
}

void entry_group::on_peer_up(const core::host_id& peer)
{
    reachable_.insert(peer);
    absent_since_.erase(peer);
}

void entry_group::on_peer_down(const core::host_id& peer, core::time_point now)
{
    if (reachable_.erase(peer) > 0) {
        absent_since_[peer] = now;
    }
}

core::host_id entry_group::permit_owner(const core::endpoint_id& endpoint) const
{
    const auto weight = [&endpoint](const core::host_id& host) {
        return core::combine_hashes(core::hash64(endpoint.str()), core::hash64(host.str()));
    };
    core::host_id owner = self_;
    std::uint64_t best = weight(self_);
    for (const core::host_id& host : reachable_) {
        const std::uint64_t candidate = weight(host);
        if (candidate > best) {
            best = candidate;
            owner = host;
        }
    }
    return owner;
}

double entry_group::pooled_part(core::time_point now) const
{
    std::size_t pooled = reachable_.size() + 1;
    if (pooled * 2 > size()) {
        pooled += static_cast<std::size_t>(
            std::count_if(absent_since_.begin(), absent_since_.end(),
                          [now](const std::pair<const core::host_id, core::time_point>& entry) {
                              return now - entry.second >= absent_part_lifetime;
                          }));
    }
    return static_cast<double>(pooled) / static_cast<double>(size());
}

double entry_group::own_part() const
{
    return 1.0 / static_cast<double>(size());
}

} // namespace currantpitch::backpressure
