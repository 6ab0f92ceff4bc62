#pragma once

#include "membership/membershipmessages.h"

#include <map>
#include <optional>
#include <vector>

namespace currantpitch::membership {

/// The latest report of every observer on each process. A process is down when at least one
/// observer reports it as down and none as up. It is leaving when any observer reports that.
class presence_table {
public:
    presence_table(core::host_id self, core::incarnation own_incarnation)
        : self_(std::move(self)), own_incarnation_(own_incarnation)
    {
    }

    /// Records an observation of this process. Returns the report to forward if the state changed.
    std::optional<presence_report> observe(const core::host_id& subject,
                                           core::incarnation incarnation, presence state);
    /// Applies a report of another process. True when it is new and must be forwarded.
    bool apply(const presence_report& report);
    /// Removes the reports of a process and the reports on it.
    void remove_process(const core::host_id& host);

    /// State of the given incarnation of a process; up when there is no report.
    presence state_of(const core::host_id& subject, core::incarnation incarnation) const;
    /// All reports, for a newly connected peer.
    std::vector<presence_report> reports() const;

private:
    std::map<core::host_id, std::map<core::host_id, presence_report>> by_subject_;
    core::host_id self_;
    core::incarnation own_incarnation_;
    std::uint64_t last_sequence_ = 0;
};

} // namespace currantpitch::membership
