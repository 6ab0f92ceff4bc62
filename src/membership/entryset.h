#pragma once

#include "core/identifiers.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace currantpitch::membership {

/// A host that may be chosen.
struct entry_candidate {
    core::host_id host;
    core::failure_domain_id failure_domain;
};

/// Number of entries that serve a workspace: as asked for, or by its part of all shares.
std::size_t entry_count(std::size_t asked_for, double share, double total_share,
                        std::size_t entries);

/// Hosts chosen for a key, in order of preference: a rendezvous choice that takes the failure
/// domains in turn, so that no failure domain holds more of them than necessary.
std::vector<core::host_id> choose_spread(std::string_view key,
                                         const std::vector<entry_candidate>& candidates,
                                         std::size_t count);

/// The entries that serve a workspace, in order of preference, by choose_spread.
std::vector<core::host_id> choose_entries(const core::workspace_id& workspace,
                                          const std::vector<entry_candidate>& candidates,
                                          std::size_t count);

} // namespace currantpitch::membership
