#pragma once

#include "core/identifiers.h"

#include <set>
#include <vector>

namespace currantpitch::intents {

/// An entry as far as the dissemination of configuration is concerned.
struct sync_member {
    core::host_id host;
    core::failure_domain_id failure_domain;
};

/// The relays of each failure domain: the members that rank first in a rendezvous hash.
std::set<core::host_id> relays_of(const std::vector<sync_member>& members);

/// The peers that a process connects to: the relays of its own failure domain and, for a relay,
/// all other relays. Of two relays, the one with the smaller name connects.
std::set<core::host_id> peers_to_dial(const sync_member& self,
                                      const std::vector<sync_member>& members);

} // namespace currantpitch::intents
