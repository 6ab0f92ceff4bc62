#include "backpressure/entrygroup.h"

#include "backpressure/backpressureconstants.h"
#include "core/hashing.h"

#include <algorithm>

namespace currantpitch::backpressure {

namespace {

/// Distinguishes the order of the parts from the order of the owners.
constexpr std::uint64_t part_order_seed = 1;

} // namespace

void entry_group::set_registered(const std::set<core::host_id>& hosts, core::time_point now)
{
    update_settled(hosts, now);
    preceding_.clear();
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

void entry_group::update_settled(const std::set<core::host_id>& hosts, core::time_point now)
{
    const bool grown = hosts.size() > listed_count_;
    if (!settled(now) && hosts.contains(self_) && (!settled_at_ || grown)) {
        settled_at_ = listed_ ? now + roster_settling_time : now;
    }
    listed_ = true;
    listed_count_ = hosts.size();
}

void entry_group::on_peer_up(const core::host_id& peer)
{
    if (!absent_since_.contains(peer)) {
        preceding_.clear();
    }
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

bool entry_group::holds_part(const core::endpoint_id& endpoint, std::size_t parts) const
{
    if (parts >= size()) {
        return true;
    }
    auto found = preceding_.find(endpoint);
    if (found == preceding_.end()) {
        const std::uint64_t key = core::hash64(endpoint.str(), part_order_seed);
        const auto weight = [key](const core::host_id& host) {
            return core::combine_hashes(key, core::hash64(host.str(), part_order_seed));
        };
        const std::uint64_t own = weight(self_);
        const auto precedes = [&](const core::host_id& host) {
            return weight(host) > own;
        };
        std::size_t preceding =
            static_cast<std::size_t>(std::count_if(reachable_.begin(), reachable_.end(), precedes));
        for (const std::pair<const core::host_id, core::time_point>& absent : absent_since_) {
            preceding += precedes(absent.first) ? 1 : 0;
        }
        found = preceding_.emplace(endpoint, preceding).first;
    }
    return found->second < parts;
}

} // namespace currantpitch::backpressure
