#include "membership/presencetable.h"

#include "membership/membershipconstants.h"

namespace currantpitch::membership {

std::optional<presence_report>
presence_table::observe(const core::host_id& subject, core::incarnation incarnation, presence state)
{
    const std::map<core::host_id, presence_report>& known = by_subject_[subject];
    const auto own_report = known.find(self_);
    const bool unchanged = own_report != known.end() &&
                           own_report->second.subject_incarnation == incarnation &&
                           own_report->second.state == state;
    if (unchanged) {
        return std::nullopt;
    }
    const presence_report report{self_,   own_incarnation_, ++last_sequence_,
                                 subject, incarnation,      state};
    by_subject_[subject][self_] = report;
    return report;
}

bool presence_table::apply(const presence_report& report)
{
    if (report.observer == self_) {
        return false;
    }
    if (!by_subject_.contains(report.subject) && by_subject_.size() >= max_presence_subjects) {
        return false;
    }
    std::map<core::host_id, presence_report>& known = by_subject_[report.subject];
    const auto found = known.find(report.observer);
    const bool newer = found == known.end() ||
                       found->second.observer_incarnation != report.observer_incarnation ||
                       report.sequence > found->second.sequence;
    if (newer) {
        known[report.observer] = report;
    }
    return newer;
}

void presence_table::remove_process(const core::host_id& host)
{
    by_subject_.erase(host);
    for (std::pair<const core::host_id, std::map<core::host_id, presence_report>>& entry :
         by_subject_) {
        entry.second.erase(host);
    }
}

presence presence_table::state_of(const core::host_id& subject, core::incarnation incarnation) const
{
    const auto found = by_subject_.find(subject);
    if (found == by_subject_.end()) {
        return presence::up;
    }
    bool seen_up = false;
    bool seen_down = false;
    for (const std::pair<const core::host_id, presence_report>& entry : found->second) {
        const presence_report& report = entry.second;
        if (report.subject_incarnation != incarnation) {
            continue;
        }
        if (report.state == presence::leaving) {
            return presence::leaving;
        }
        seen_up = seen_up || report.state == presence::up;
        seen_down = seen_down || report.state == presence::down;
    }
    return seen_down && !seen_up ? presence::down : presence::up;
}

std::vector<presence_report> presence_table::reports() const
{
    std::vector<presence_report> all;
    for (const std::pair<const core::host_id, std::map<core::host_id, presence_report>>& entry :
         by_subject_) {
        for (const std::pair<const core::host_id, presence_report>& report : entry.second) {
            all.push_back(report.second);
        }
    }
    return all;
}

} // namespace currantpitch::membership
