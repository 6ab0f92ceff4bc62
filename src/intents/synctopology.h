#pragma once

#include "core/identifiers.h"

#include <set>
#include <vector>

namespace currantpitch::intents {

/// An entry that takes part in the dissemination of configuration.
struct sync_member {
    core::host_id host;
    core::failure_domain_id failure_domain;
};

/// The relays of all failure domains. In each domain, they are the members that rank first in a
/// rendezvous hash of the host id.
std::set<core::host_id> relays_of(const std::vector<sync_member>& members);

/// The peers that a process connects to: the relays of its own failure domain and, for a relay,
/// all other relays. Of two relays, the one with the smaller host id connects.
std::set<core::host_id> peers_to_dial(const sync_member& self,
                                      const std::vector<sync_member>& members);

} // namespace currantpitch::intents
