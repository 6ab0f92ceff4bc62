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
                                        const endpoint_process& process, core::time_point at)
{
    const bool already_recorded = std::any_of(
        failures_.begin(), failures_.end(),
        [&process](const endpoint_failure& failure) { return failure.process == process; });
    if (!already_recorded) {
        failures_.push_back({domain, process, at});
    }
}

void crash_tracker::on_crash(const crash_record& record)
{
    const endpoint_process process{record.endpoint, record.endpoint_incarnation};
    on_endpoint_failure(record.failure_domain, process, record.at);
    if (!suspects_.contains(record.request) && suspects_.size() >= max_suspects) {
        return;
    }
    suspect_state& s = suspects_[record.request];
    s.workspace = record.workspace;
    if (!was_running_on(s, process)) {
        s.crashes.push_back({process, record.failure_domain, record.isolated, record.at});
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
        failures_with_request += was_running_on(s, failure.process);
    }
    // Many simultaneous failures have an external cause, unless this request was running on every
    // endpoint that failed.
    return failures >= mass_failure_threshold && failures_with_request < failures;
}

bool crash_tracker::was_running_on(const suspect_state& s, const endpoint_process& process)
{
    return std::any_of(s.crashes.begin(), s.crashes.end(), [&process](const observed_crash& crash) {
        return crash.process == process;
    });
}

bool crash_tracker::is_most_suspect(const suspect_state& s, const observed_crash& crash) const
{
    return std::none_of(suspects_.begin(), suspects_.end(),
                        [&s, &crash](const std::pair<const fingerprint, suspect_state>& other) {
                            return &other.second != &s &&
                                   other.second.crashes.size() >= s.crashes.size() &&
                                   was_running_on(other.second, crash.process);
                        });
}

bool crash_tracker::is_confirmed(const suspect_state& s, core::time_point now) const
{
    if (s.crashes.size() < 2) {
        return false;
    }
    std::size_t confirmed_crashes = 0;
    bool only_cause = false;
    for (const observed_crash& crash : s.crashes) {
        const bool window_elapsed = now - crash.at > mass_failure_window;
        if (!window_elapsed || in_mass_failure(s, crash)) {
            continue;
        }
        ++confirmed_crashes;
        only_cause = only_cause || crash.isolated || is_most_suspect(s, crash);
    }
    return confirmed_crashes >= 2 && only_cause;
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
    std::vector<observed_crash> explained;
    for (const std::pair<const fingerprint, suspect_state>& entry : suspects_) {
        const suspect_state& s = entry.second;
        if (!is_confirmed(s, now)) {
            continue;
        }
        quarantine_finding finding{entry.first, s.workspace, {}};
        for (const observed_crash& crash : s.crashes) {
            finding.evidence.push_back(crash.process.endpoint.str() + "/" +
                                       std::to_string(crash.process.incarnation.value));
        }
        explained.insert(explained.end(), s.crashes.begin(), s.crashes.end());
        findings.push_back(std::move(finding));
    }
    for (const quarantine_finding& finding : findings) {
        quarantined_.insert(finding.request);
        suspects_.erase(finding.request);
    }
    explain(explained);
    return findings;
}

void crash_tracker::explain(const std::vector<observed_crash>& crashes)
{
    if (crashes.empty()) {
        return;
    }
    for (std::pair<const fingerprint, suspect_state>& entry : suspects_) {
        std::erase_if(entry.second.crashes, [&crashes](const observed_crash& c) {
            return std::any_of(crashes.begin(), crashes.end(), [&c](const observed_crash& known) {
                return known.process == c.process;
            });
        });
    }
    std::erase_if(suspects_, [](const std::pair<const fingerprint, suspect_state>& entry) {
        return entry.second.crashes.empty();
    });
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

std::size_t crash_tracker::crash_count(const fingerprint& request) const
{
    const auto found = suspects_.find(request);
    return found == suspects_.end() ? 0 : found->second.crashes.size();
}

std::vector<crash_record> crash_tracker::records() const
{
    std::vector<crash_record> all;
    for (const std::pair<const fingerprint, suspect_state>& entry : suspects_) {
        for (const observed_crash& c : entry.second.crashes) {
            all.push_back({entry.first, entry.second.workspace, c.process.endpoint,
                           c.failure_domain, c.process.incarnation, c.isolated, c.at});
        }
    }
    return all;
}

} // namespace currantpitch::admission
