#include "intents/synctopology.h"

#include "core/hashing.h"
#include "intents/intentsconstants.h"

#include <algorithm>
#include <map>

namespace currantpitch::intents {

std::set<core::host_id> relays_of(const std::vector<sync_member>& members)
{
    using ranked_member = std::pair<std::uint64_t, core::host_id>;
    std::map<core::failure_domain_id, std::vector<ranked_member>> domains;
    for (const sync_member& m : members) {
        domains[m.failure_domain].emplace_back(core::hash64(m.host.str()), m.host);
    }
    std::set<core::host_id> relays;
    for (std::pair<const core::failure_domain_id, std::vector<ranked_member>>& domain : domains) {
        std::sort(domain.second.begin(), domain.second.end());
        const std::size_t count = std::min(domain.second.size(), relays_per_failure_domain);
        for (std::size_t i = 0; i < count; ++i) {
            relays.insert(domain.second[i].second);
        }
    }
    return relays;
}

std::set<core::host_id> peers_to_dial(const sync_member& self,
                                      const std::vector<sync_member>& members)
{
    const std::set<core::host_id> relays = relays_of(members);
    const bool self_is_relay = relays.contains(self.host);
    std::set<core::host_id> peers;
    for (const sync_member& m : members) {
        if (m.host == self.host || !relays.contains(m.host)) {
            continue;
        }
        const bool same_domain = m.failure_domain == self.failure_domain;
        const bool between_relays = self_is_relay && self.host < m.host;
        if (between_relays || (!self_is_relay && same_domain)) {
            peers.insert(m.host);
        }
    }
    return peers;
}

} // namespace currantpitch::intents
