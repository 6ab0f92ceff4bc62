#pragma once

#include "core/identifiers.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace currantpitch::membership {

/// A host that can be chosen.
struct entry_candidate {
    core::host_id host;
    core::failure_domain_id failure_domain;
};

/// Number of entries that serve a workspace: the requested number or, if that is 0, a number in
/// proportion to its share. Never more than there are entries.
std::size_t entry_count(std::size_t requested_entries, double share, double total_share,
                        std::size_t entries);

/// Hosts chosen for a key, in order of preference. They are ranked by rendezvous hashing, and the
/// failure domains are used in turn, so that the choice is spread over them as evenly as possible.
std::vector<core::host_id> choose_spread(std::string_view key,
                                         const std::vector<entry_candidate>& candidates,
                                         std::size_t count);

/// The entries that serve a workspace, in order of preference, chosen by choose_spread.
std::vector<core::host_id> choose_entries(const core::workspace_id& workspace,
                                          const std::vector<entry_candidate>& candidates,
                                          std::size_t count);

} // namespace currantpitch::membership
