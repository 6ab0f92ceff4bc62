#pragma once

#include "core/identifiers.h"
#include "intents/syncmessages.h"

#include <map>
#include <set>
#include <vector>

namespace currantpitch::intents {

/// How many processes there are and how many hold a revision.
struct holders {
    std::uint32_t holding = 0;
    std::uint32_t total = 0;
};

/// What the processes of the fleet hold. A relay counts the entries of its own failure domain and
/// hears the counts of the others; any other entry hears the counts of all from a relay.
class fleet_view {
public:
    explicit fleet_view(core::failure_domain_id own) : own_(std::move(own)) {}

    void set_relay(bool relay) { relay_ = relay; }
    /// An entry of the own failure domain, this one included.
    void on_member(const core::host_id& host, core::revision complete);
    void remove_member(const core::host_id& host);
    void on_domain(const domain_summary& summary);
    void on_fleet(const fleet_summary& summary);
    /// Failure domains that still have entries; others are forgotten.
    void keep_domains(const std::set<core::failure_domain_id>& domains);

    domain_summary own_domain() const;
    fleet_summary fleet() const;
    holders holding(core::revision at) const;

private:
    core::failure_domain_id own_;
    bool relay_ = false;
    std::map<core::host_id, core::revision> members_;
    std::map<core::failure_domain_id, std::vector<revision_count>> domains_;
    std::vector<revision_count> told_;
};

} // namespace currantpitch::intents
