#include "evacuation/evacuationset.h"

#include "evacuation/evacuationconstants.h"

#include <algorithm>

namespace currantpitch::evacuation {

bool evacuation_set::in_rewrite_period(core::time_point now) const
{
    return !rewritten_ && now - era_seen_at_ < rewrite_period;
}

void evacuation_set::enter_era(core::store_era era, core::time_point now)
{
    if (as_of_ && era <= as_of_->era) {
        return;
    }
    for (const std::pair<const core::failure_domain_id, core::revision>& entry : evacuated_) {
        unconfirmed_.insert_or_assign(entry.first, entry.second);
    }
    evacuated_.clear();
    shown_.clear();
    as_of_ = core::revision{0, era};
    era_seen_at_ = now;
    rewritten_ = false;
}

void evacuation_set::replace(const evacuation_versions& evacuated, core::revision at)
{
    evacuation_versions merged = evacuated;
    for (const std::pair<const core::failure_domain_id, core::revision>& known : evacuated_) {
        shown_.insert(known.first);
        if (known.second > at || unreadable_.contains(known.first)) {
            merged.insert(known);
        }
        if (!merged.contains(known.first)) {
            lifted_[known.first] = at;
        }
    }
    evacuated_ = std::move(merged);
    for (const std::pair<const core::failure_domain_id, core::revision>& entry : evacuated_) {
        shown_.insert(entry.first);
        unconfirmed_.erase(entry.first);
    }
    as_of_ = at;
}

void evacuation_set::on_listing(const evacuation_versions& evacuated,
                                const std::set<core::failure_domain_id>& unreadable,
                                core::revision at, core::time_point now)
{
    enter_era(at.era, now);
    if (at < *as_of_) {
        return;
    }
    unreadable_ = unreadable;
    evacuation_versions listed = evacuated;
    for (const core::failure_domain_id& domain : unreadable) {
        if (unconfirmed_.contains(domain)) {
            listed.emplace(domain, core::revision{0, at.era});
        }
    }
    replace(listed, at);
    if (!in_rewrite_period(now)) {
        end_unconfirmed();
    }
}

void evacuation_set::end_unconfirmed()
{
    rewritten_ = true;
    for (const std::pair<const core::failure_domain_id, core::revision>& entry : unconfirmed_) {
        lifted_[entry.first] = *as_of_;
    }
    unconfirmed_.clear();
}

void evacuation_set::on_change(const core::failure_domain_id& domain, core::revision at,
                               bool evacuated, core::time_point now)
{
    enter_era(at.era, now);
    const auto known = evacuated_.find(domain);
    // A deletion may carry the version that it deletes.
    const bool applies =
        newer_than_known(at) || (!evacuated && known != evacuated_.end() && at >= known->second);
    if (!applies) {
        return;
    }
    as_of_ = std::max(*as_of_, at);
    unreadable_.erase(domain);
    unconfirmed_.erase(domain);
    shown_.insert(domain);
    if (evacuated) {
        evacuated_[domain] = at;
    }
    else {
        evacuated_.erase(domain);
        lifted_[domain] = *as_of_;
    }
}

void evacuation_set::on_report(const evacuation_report& report, core::time_point now)
{
    if (report.as_of.value == 0) {
        return;
    }
    enter_era(report.as_of.era, now);
    evacuation_versions reported;
    for (const reported_evacuation& e : report.evacuated) {
        reported.emplace(e.failure_domain, e.at);
    }
    if (report.as_of > *as_of_) {
        replace(reported, report.as_of);
    }
    for (const std::pair<const core::failure_domain_id, core::revision>& entry : reported) {
        if (unreadable_.contains(entry.first)) {
            // The peer has seen the last valid state.
            evacuated_.insert(entry);
            unconfirmed_.erase(entry.first);
        }
    }
    merge_unconfirmed(report, now);
}

void evacuation_set::merge_unconfirmed(const evacuation_report& report, core::time_point now)
{
    const bool same_era = report.as_of.era == as_of_->era;
    if (same_era && report.rewritten) {
        end_unconfirmed();
    }
    if (!in_rewrite_period(now)) {
        return;
    }
    std::vector<reported_evacuation> earlier = report.unconfirmed;
    if (!same_era) {
        earlier.insert(earlier.end(), report.evacuated.begin(), report.evacuated.end());
    }
    for (const reported_evacuation& e : earlier) {
        const auto lifted = lifted_.find(e.failure_domain);
        const bool ended = lifted != lifted_.end() && e.at <= lifted->second;
        if (!ended && !shown_.contains(e.failure_domain)) {
            unconfirmed_.emplace(e.failure_domain, e.at);
        }
    }
}

std::set<core::failure_domain_id> evacuation_set::evacuated() const
{
    std::set<core::failure_domain_id> domains;
    for (const evacuation_versions* const part : {&evacuated_, &unconfirmed_}) {
        for (const std::pair<const core::failure_domain_id, core::revision>& entry : *part) {
            domains.insert(entry.first);
        }
    }
    return domains;
}

core::revision evacuation_set::revision_of(const core::failure_domain_id& domain) const
{
    const auto found = evacuated_.find(domain);
    return found == evacuated_.end() ? core::revision{} : found->second;
}

evacuation_report evacuation_set::report() const
{
    evacuation_report all;
    all.as_of = as_of_.value_or(core::revision{});
    for (const std::pair<const core::failure_domain_id, core::revision>& entry : evacuated_) {
        all.evacuated.push_back({entry.first, entry.second});
    }
    for (const std::pair<const core::failure_domain_id, core::revision>& entry : unconfirmed_) {
        all.unconfirmed.push_back({entry.first, entry.second});
    }
    all.rewritten = rewritten_;
    return all;
}

} // namespace currantpitch::evacuation
