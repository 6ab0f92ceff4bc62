#pragma once

#include "core/identifiers.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace currantpitch::membership {

/// An entry with its state from the configuration and from the peer connections.
struct known_entry {
    core::host_id host;
    core::failure_domain_id failure_domain;
    std::string caller_address;
    bool leaving = false;
    bool reachable = true;
};

/// One address that a caller may use.
struct entry_address {
    std::string address;
    core::failure_domain_id failure_domain;

    friend bool operator==(const entry_address&, const entry_address&) = default;
};

/// The entries that a caller should use, in order of preference, and for how long.
struct address_answer {
    std::vector<entry_address> addresses;
    std::chrono::milliseconds lifetime{};
};

/// Parameters of the selection besides the entries.
struct address_query {
    core::workspace_id workspace;
    std::size_t requested_entries = 0;
    double share = 1;
    double total_share = 1;
    /// Failure domain of the caller; its entries come first.
    std::optional<core::failure_domain_id> caller_failure_domain;
    std::chrono::milliseconds lifetime{};
};

/// Selects the entries for a caller. Leaving entries are never included. Unreachable entries are
/// included only when no entry is reachable, since this process may be the one that is isolated.
address_answer answer_addresses(const address_query& query,
                                const std::vector<known_entry>& entries);

} // namespace currantpitch::membership
