#pragma once

#include "core/identifiers.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace currantpitch::membership {

/// An entry as the configuration and its peers know it.
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

/// Which entries a caller is to use, best first, and for how long.
struct address_answer {
    std::vector<entry_address> addresses;
    std::chrono::milliseconds lifetime{};
};

/// Parameters of the answer besides the entries.
struct address_query {
    core::workspace_id workspace;
    std::size_t requested_entries = 0;
    double share = 1;
    double total_share = 1;
    /// The caller's failure domain; its entries come first.
    std::optional<core::failure_domain_id> near;
    std::chrono::milliseconds lifetime{};
};

/// Draws up the answer. Leaving entries are never named; unreachable ones only when no other is
/// left, since this process may be the one that is cut off.
address_answer answer_addresses(const address_query& question,
                                const std::vector<known_entry>& entries);

} // namespace currantpitch::membership
