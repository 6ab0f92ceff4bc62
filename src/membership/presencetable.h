#pragma once

#include "membership/membershipmessages.h"

#include <map>
#include <optional>
#include <vector>

namespace currantpitch::membership {

/// What all observers last said of each process. A process is down when somebody saw it go down
/// and nobody sees it up; it leaves when anybody has heard so.
class presence_table {
public:
    presence_table(core::host_id self, core::incarnation own) : self_(std::move(self)), own_(own) {}

    /// Records what this process observes; returns the report to forward, if the state changed.
    std::optional<presence_report> observe(const core::host_id& subject, core::incarnation life,
                                           presence state);
    /// Applies a report of another process. True when it is new and has to be forwarded.
    bool take(const presence_report& note);
    /// Forgets what a process observed and what was observed of it.
    void forget(const core::host_id& host);

    /// State of the given life of a process; up when nothing is known.
    presence state_of(const core::host_id& subject, core::incarnation life) const;
    /// All reports, for a new peer.
    std::vector<presence_report> notes() const;

private:
    std::map<core::host_id, std::map<core::host_id, presence_report>> by_subject_;
    core::host_id self_;
    core::incarnation own_;
    std::uint64_t last_sequence_ = 0;
};

} // namespace currantpitch::membership
