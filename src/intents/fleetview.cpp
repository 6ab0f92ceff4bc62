#include "intents/fleetview.h"

namespace currantpitch::intents {

void fleet_view::on_member(const core::host_id& host, core::revision complete)
{
    members_[host] = complete;
}

void fleet_view::remove_member(const core::host_id& host)
{
    members_.erase(host);
}

void fleet_view::on_domain(const domain_summary& summary)
{
    if (summary.failure_domain != own_domain_) {
        domains_[summary.failure_domain] = summary.counts;
    }
}

void fleet_view::on_fleet(const fleet_summary& summary)
{
    received_counts_ = summary.counts;
}

void fleet_view::keep_domains(const std::set<core::failure_domain_id>& domains)
{
    std::erase_if(domains_,
                  [&domains](const auto& entry) { return !domains.contains(entry.first); });
}

domain_summary fleet_view::own_domain() const
{
    std::map<core::revision, std::uint32_t> counts;
    for (const std::pair<const core::host_id, core::revision>& member : members_) {
        ++counts[member.second];
    }
    domain_summary summary{own_domain_, {}};
    for (const std::pair<const core::revision, std::uint32_t>& count : counts) {
        summary.counts.push_back({count.first, count.second});
    }
    return summary;
}

fleet_summary fleet_view::fleet() const
{
    if (!relay_ && !received_counts_.empty()) {
        return {received_counts_};
    }
    std::map<core::revision, std::uint32_t> counts;
    for (const revision_count& count : own_domain().counts) {
        counts[count.complete] += count.processes;
    }
    for (const std::pair<const core::failure_domain_id, std::vector<revision_count>>& domain :
         domains_) {
        for (const revision_count& count : domain.second) {
            counts[count.complete] += count.processes;
        }
    }
    fleet_summary summary;
    for (const std::pair<const core::revision, std::uint32_t>& count : counts) {
        summary.counts.push_back({count.first, count.second});
    }
    return summary;
}

holder_count fleet_view::holding(core::revision at) const
{
    holder_count found;
    for (const revision_count& count : fleet().counts) {
        found.total += count.processes;
        found.holding += count.complete >= at ? count.processes : 0;
    }
    return found;
}

} // namespace currantpitch::intents
