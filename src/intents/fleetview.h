#pragma once

#include "core/identifiers.h"
#include "intents/syncmessages.h"

#include <map>
#include <set>
#include <vector>

namespace currantpitch::intents {

/// Number of processes in total, and of those that hold a revision.
struct holder_count {
    std::uint32_t holding = 0;
    std::uint32_t total = 0;
};

/// Number of processes of the fleet at each revision. A relay counts the entries of its own failure
/// domain and receives the counts of the other domains. Any other entry receives the counts of all
/// domains from a relay.
class fleet_view {
public:
    explicit fleet_view(core::failure_domain_id own) : own_domain_(std::move(own)) {}

    void set_relay(bool relay) { relay_ = relay; }
    /// Records the revision of an entry of the own failure domain, which may be this entry.
    void on_member(const core::host_id& host, core::revision complete);
    void remove_member(const core::host_id& host);
    void on_domain(const domain_summary& summary);
    void on_fleet(const fleet_summary& summary);
    /// Keeps the counts of the given failure domains, which still have entries, and drops the rest.
    void keep_domains(const std::set<core::failure_domain_id>& domains);

    domain_summary own_domain() const;
    fleet_summary fleet() const;
    holder_count holding(core::revision at) const;

private:
    core::failure_domain_id own_domain_;
    bool relay_ = false;
    std::map<core::host_id, core::revision> members_;
    std::map<core::failure_domain_id, std::vector<revision_count>> domains_;
    std::vector<revision_count> received_counts_;
};

} // namespace currantpitch::intents
