#pragma once

#include "core/identifiers.h"

#include <cstddef>
#include <vector>

namespace currantpitch::membership {

/// An entry that may serve workspaces.
struct entry_candidate {
    core::host_id host;
    core::failure_domain_id failure_domain;
};

/// Number of entries that serve a workspace: as asked for, or by its part of all shares.
std::size_t entry_count(std::size_t asked_for, double share, double total_share,
                        std::size_t entries);

/// The entries that serve a workspace, in order of preference: a rendezvous choice that takes the
/// failure domains in turn, so that no failure domain holds more of them than necessary.
std::vector<core::host_id> choose_entries(const core::workspace_id& workspace,
                                          const std::vector<entry_candidate>& candidates,
                                          std::size_t count);

} // namespace currantpitch::membership
