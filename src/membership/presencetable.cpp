#include "membership/presencetable.h"

#include "membership/membershipconstants.h"

namespace currantpitch::membership {

std::optional<presence_report> presence_table::observe(const core::host_id& subject,
                                                       core::incarnation life, presence state)
{
    const std::map<core::host_id, presence_report>& known = by_subject_[subject];
    const auto mine = known.find(self_);
    const bool same = mine != known.end() && mine->second.subject_incarnation == life &&
                      mine->second.state == state;
    if (same) {
        return std::nullopt;
    }
    const presence_report note{self_, own_, ++last_sequence_, subject, life, state};
    by_subject_[subject][self_] = note;
    return note;
}

bool presence_table::take(const presence_report& note)
{
    if (note.observer == self_) {
        return false;
    }
    if (!by_subject_.contains(note.subject) && by_subject_.size() >= max_presence_notes) {
        return false;
    }
    std::map<core::host_id, presence_report>& known = by_subject_[note.subject];
    const auto found = known.find(note.observer);
    const bool newer = found == known.end() ||
                       found->second.observer_incarnation != note.observer_incarnation ||
                       note.sequence > found->second.sequence;
    if (newer) {
        known[note.observer] = note;
    }
    return newer;
}

void presence_table::forget(const core::host_id& host)
{
    by_subject_.erase(host);
    for (std::pair<const core::host_id, std::map<core::host_id, presence_report>>& entry :
         by_subject_) {
        entry.second.erase(host);
    }
}

presence presence_table::state_of(const core::host_id& subject, core::incarnation life) const
{
    const auto found = by_subject_.find(subject);
    if (found == by_subject_.end()) {
        return presence::up;
    }
    bool seen_up = false;
    bool seen_down = false;
    for (const std::pair<const core::host_id, presence_report>& entry : found->second) {
        const presence_report& note = entry.second;
        if (note.subject_incarnation != life) {
            continue;
        }
        if (note.state == presence::leaving) {
            return presence::leaving;
        }
        seen_up = seen_up || note.state == presence::up;
        seen_down = seen_down || note.state == presence::down;
    }
    return seen_down && !seen_up ? presence::down : presence::up;
}

std::vector<presence_report> presence_table::notes() const
{
    std::vector<presence_report> all;
    for (const std::pair<const core::host_id, std::map<core::host_id, presence_report>>& entry :
         by_subject_) {
        for (const std::pair<const core::host_id, presence_report>& note : entry.second) {
            all.push_back(note.second);
        }
    }
    return all;
}

} // namespace currantpitch::membership
