#include "admission/crashtracker.h"

#include "admission/admissionconstants.h"

#include <algorithm>

namespace currantpitch::admission {

std::string_view to_string(suspicion_level s)
{
    switch (s) {
    case suspicion_level::clear:
        return "clear";
    case suspicion_level::suspect:
        return "suspect";
    case suspicion_level::held:
        return "held";
    case suspicion_level::quarantined:
        return "quarantined";
    }
    return "unknown";
}

void crash_tracker::on_endpoint_failure(const core::failure_domain_id& domain,
                                        core::incarnation endpoint, core::time_point at)
{
    const bool known = std::any_of(deaths_.begin(), deaths_.end(), [&endpoint](const death& d) {
        return d.incarnation == endpoint;
    });
    if (!known) {
        deaths_.push_back({domain, endpoint, at});
    }
}

void crash_tracker::on_crash(const crash_record& note)
{
    on_endpoint_failure(note.failure_domain, note.endpoint_incarnation, note.at);
    if (!suspects_.contains(note.request) && suspects_.size() >= max_suspects) {
        return;
    }
    suspect_state& s = suspects_[note.request];
    s.workspace = note.workspace;
    const bool known = std::any_of(s.seen.begin(), s.seen.end(), [&note](const evidence& e) {
        return e.incarnation == note.endpoint_incarnation;
    });
    if (!known) {
        s.seen.push_back({note.endpoint, note.failure_domain, note.endpoint_incarnation,
                          note.isolated, note.at});
    }
}

void crash_tracker::on_success(const fingerprint& request)
{
    suspects_.erase(request);
}

void crash_tracker::set_quarantined(const fingerprint& request, bool quarantined)
{
    if (quarantined) {
        quarantined_.insert(request);
    }
    else {
        quarantined_.erase(request);
    }
    suspects_.erase(request);
}

bool crash_tracker::in_mass_failure(const suspect_state& s, const evidence& e) const
{
    std::size_t deaths = 0;
    std::size_t with_request = 0;
    for (const death& d : deaths_) {
        const core::duration apart = d.at > e.at ? d.at - e.at : e.at - d.at;
        if (apart > mass_failure_window || d.failure_domain != e.failure_domain) {
            continue;
        }
        ++deaths;
        with_request += std::any_of(s.seen.begin(), s.seen.end(), [&d](const evidence& other) {
            return other.incarnation == d.incarnation;
        });
    }
    // Many deaths at once have a cause of their own, unless this request was at all of them.
    return deaths >= mass_failure_deaths && with_request < deaths;
}

bool crash_tracker::proven(const suspect_state& s, core::time_point now) const
{
    std::size_t counting = 0;
    bool isolated = false;
    for (const evidence& e : s.seen) {
        const bool settled = now - e.at > mass_failure_window;
        if (!settled || in_mass_failure(s, e)) {
            continue;
        }
        ++counting;
        isolated = isolated || e.isolated;
    }
    return counting >= 2 && isolated;
}

suspicion_level crash_tracker::suspicion_of(const fingerprint& request, core::time_point now) const
{
    if (quarantined_.contains(request)) {
        return suspicion_level::quarantined;
    }
    const auto found = suspects_.find(request);
    if (found == suspects_.end()) {
        return suspicion_level::clear;
    }
    const std::vector<evidence>& seen = found->second.seen;
    const bool recent = std::any_of(seen.begin(), seen.end(), [now](const evidence& e) {
        return now - e.at <= mass_failure_window;
    });
    const bool undecided = seen.size() >= 2 && recent;
    return undecided || proven(found->second, now) ? suspicion_level::held
                                                   : suspicion_level::suspect;
}

std::vector<quarantine_finding> crash_tracker::take_findings(core::time_point now)
{
    std::vector<quarantine_finding> findings;
    for (auto it = suspects_.begin(); it != suspects_.end();) {
        const suspect_state& s = it->second;
        if (!proven(s, now)) {
            ++it;
            continue;
        }
        quarantine_finding found{it->first, s.workspace, {}};
        for (const evidence& e : s.seen) {
            found.evidence.push_back(e.endpoint.str() + "/" + std::to_string(e.incarnation.value));
        }
        quarantined_.insert(it->first);
        findings.push_back(std::move(found));
        it = suspects_.erase(it);
    }
    return findings;
}

void crash_tracker::expire(core::time_point now)
{
    std::erase_if(suspects_, [now](const std::pair<const fingerprint, suspect_state>& entry) {
        return std::all_of(entry.second.seen.begin(), entry.second.seen.end(),
                           [now](const evidence& e) { return now - e.at > suspicion_lifetime; });
    });
    while (!deaths_.empty() && now - deaths_.front().at > suspicion_lifetime) {
        deaths_.pop_front();
    }
}

} // namespace currantpitch::admission
