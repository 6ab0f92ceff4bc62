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
                                        core::incarnation endpoint_incarnation, core::time_point at)
{
    const bool already_recorded =
        std::any_of(failures_.begin(), failures_.end(),
                    [&endpoint_incarnation](const endpoint_failure& failure) {
                        return failure.incarnation == endpoint_incarnation;
                    });
    if (!already_recorded) {
        failures_.push_back({domain, endpoint_incarnation, at});
    }
}

void crash_tracker::on_crash(const crash_record& record)
{
    on_endpoint_failure(record.failure_domain, record.endpoint_incarnation, record.at);
    if (!suspects_.contains(record.request) && suspects_.size() >= max_suspects) {
        return;
    }
    suspect_state& s = suspects_[record.request];
    s.workspace = record.workspace;
    const bool already_recorded =
        std::any_of(s.crashes.begin(), s.crashes.end(), [&record](const observed_crash& crash) {
            return crash.incarnation == record.endpoint_incarnation;
        });
    if (!already_recorded) {
        s.crashes.push_back({record.endpoint, record.failure_domain, record.endpoint_incarnation,
                             record.isolated, record.at});
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

bool crash_tracker::in_mass_failure(const suspect_state& s, const observed_crash& crash) const
{
    std::size_t failures = 0;
    std::size_t failures_with_request = 0;
    for (const endpoint_failure& failure : failures_) {
        const core::duration time_apart =
            failure.at > crash.at ? failure.at - crash.at : crash.at - failure.at;
        if (time_apart > mass_failure_window || failure.failure_domain != crash.failure_domain) {
            continue;
        }
        ++failures;
        failures_with_request += std::any_of(s.crashes.begin(), s.crashes.end(),
                                             [&failure](const observed_crash& other) {
                                                 return other.incarnation == failure.incarnation;
                                             });
    }
    // Many simultaneous failures have an external cause, unless this request was running on every
    // endpoint that failed.
    return failures >= mass_failure_threshold && failures_with_request < failures;
}

bool crash_tracker::is_confirmed(const suspect_state& s, core::time_point now) const
{
    std::size_t confirmed_crashes = 0;
    bool isolated = false;
    for (const observed_crash& crash : s.crashes) {
        const bool window_elapsed = now - crash.at > mass_failure_window;
        if (!window_elapsed || in_mass_failure(s, crash)) {
            continue;
        }
        ++confirmed_crashes;
        isolated = isolated || crash.isolated;
    }
    return confirmed_crashes >= 2 && isolated;
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
    const std::vector<observed_crash>& crashes = found->second.crashes;
    const bool recent =
        std::any_of(crashes.begin(), crashes.end(), [now](const observed_crash& crash) {
            return now - crash.at <= mass_failure_window;
        });
    const bool undecided = crashes.size() >= 2 && recent;
    return undecided || is_confirmed(found->second, now) ? suspicion_level::held
                                                         : suspicion_level::suspect;
}

std::vector<quarantine_finding> crash_tracker::take_findings(core::time_point now)
{
    std::vector<quarantine_finding> findings;
    for (auto it = suspects_.begin(); it != suspects_.end();) {
        const suspect_state& s = it->second;
        if (!is_confirmed(s, now)) {
            ++it;
            continue;
        }
        quarantine_finding finding{it->first, s.workspace, {}};
        for (const observed_crash& crash : s.crashes) {
            finding.evidence.push_back(crash.endpoint.str() + "/" +
                                       std::to_string(crash.incarnation.value));
        }
        quarantined_.insert(it->first);
        findings.push_back(std::move(finding));
        it = suspects_.erase(it);
    }
    return findings;
}

void crash_tracker::expire(core::time_point now)
{
    std::erase_if(suspects_, [now](const std::pair<const fingerprint, suspect_state>& entry) {
        return std::all_of(
            entry.second.crashes.begin(), entry.second.crashes.end(),
            [now](const observed_crash& crash) { return now - crash.at > suspicion_lifetime; });
    });
    while (!failures_.empty() && now - failures_.front().at > suspicion_lifetime) {
        failures_.pop_front();
    }
}

} // namespace currantpitch::admission
