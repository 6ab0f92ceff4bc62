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

    /// Records what this process observes; returns the note to pass on, if it is news.
    std::optional<presence_note> observe(const core::host_id& subject, core::incarnation life,
                                         presence state);
    /// Takes a note of another process. True when it is news, to be passed on.
    bool take(const presence_note& note);
    /// Forgets what a process observed and what was observed of it.
    void forget(const core::host_id& host);

    /// State of the given life of a process; up when nothing is known.
    presence state_of(const core::host_id& subject, core::incarnation life) const;
    /// All notes, for a new peer.
    std::vector<presence_note> notes() const;

private:
    std::map<core::host_id, std::map<core::host_id, presence_note>> by_subject_;
    core::host_id self_;
    core::incarnation own_;
    std::uint64_t last_sequence_ = 0;
};

} // namespace currantpitch::membership
