#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace currantpitch::admission {

/// Digest of a request's workspace and content.
using fingerprint = core::name<struct fingerprint_tag>;

/// One process of an endpoint. Incarnations alone do not identify it: those that the platform
/// reports are not unique.
struct endpoint_process {
    core::endpoint_id endpoint;
    core::incarnation incarnation;

    friend bool operator==(const endpoint_process&, const endpoint_process&) = default;
};

/// A request that was running on an endpoint when the endpoint failed.
struct crash_record {
    fingerprint request;
    core::workspace_id workspace;
    core::endpoint_id endpoint;
    core::failure_domain_id failure_domain;
    core::incarnation endpoint_incarnation;
    /// Whether the request ran isolated from other suspect requests.
    bool isolated = false;
    core::time_point at;
};

enum class suspicion_level {
    clear,
    suspect,     ///< was running on a failed endpoint; runs isolated from other suspects
    held,        ///< was running on at least two failed endpoints, one of which failed within the
                 ///< last mass_failure_window, or is about to be quarantined; refused until the
                 ///< cause is determined
    quarantined, ///< refused until the quarantine expires
};
std::string_view to_string(suspicion_level s);

/// A request to be quarantined, with the endpoint incarnations that failed while running it.
struct quarantine_finding {
    fingerprint request;
    core::workspace_id workspace;
    std::vector<std::string> evidence;
};

/// Finds requests that crash the endpoints which run them. The evidence is an endpoint incarnation
/// that failed while running the request. Two failures lead to quarantine if at least one of them
/// has no other likely cause: the request ran isolated, or no other request there was running at as
/// many failed endpoints. A failure does not count when many endpoints of its failure domain failed
/// at the same time, because the cause then lies outside the requests.
class crash_tracker {
public:
    /// Records that an endpoint failed, whether or not it was running a request.
    void on_endpoint_failure(const core::failure_domain_id& domain, const endpoint_process& process,
                             core::time_point at);
    void on_crash(const crash_record& record);
    /// Clears a suspect request that ran to completion, since it does not crash endpoints.
    void on_success(const fingerprint& request);
    /// Applies the start or end of a quarantine that was reported by another process.
    void set_quarantined(const fingerprint& request, bool quarantined);

    suspicion_level suspicion_of(const fingerprint& request, core::time_point now) const;
    /// Returns and removes the requests to quarantine now. Each request is returned once. Crashes
    /// that it explains are no evidence against other requests any more.
    std::vector<quarantine_finding> take_findings(core::time_point now);
    /// Drops suspects and endpoint failures older than suspicion_lifetime.
    void expire(core::time_point now);
    std::size_t suspect_count() const { return suspects_.size(); }
    /// Number of endpoint incarnations that failed while running a suspect request.
    std::size_t crash_count(const fingerprint& request) const;
    /// The crashes on record, those of each request in their order.
    std::vector<crash_record> records() const;

private:
    struct observed_crash {
        endpoint_process process;
        core::failure_domain_id failure_domain;
        bool isolated = false;
        core::time_point at;
    };
    struct suspect_state {
        core::workspace_id workspace;
        std::vector<observed_crash> crashes;
    };
    struct endpoint_failure {
        core::failure_domain_id failure_domain;
        endpoint_process process;
        core::time_point at;
    };

    /// Whether the crash belongs to a mass failure that the request cannot have caused alone.
    bool in_mass_failure(const suspect_state& s, const observed_crash& crash) const;
    /// Whether no other request that was running on the endpoint has as many crashes on record.
    bool is_most_suspect(const suspect_state& s, const observed_crash& crash) const;
    static bool was_running_on(const suspect_state& s, const endpoint_process& process);
    /// Removes the evidence that crashes with a known cause were against other requests.
    void explain(const std::vector<observed_crash>& crashes);
    /// Whether the crashes are sufficient evidence for a quarantine.
    bool is_confirmed(const suspect_state& s, core::time_point now) const;

    std::unordered_map<fingerprint, suspect_state> suspects_;
    std::set<fingerprint> quarantined_;
    std::deque<endpoint_failure> failures_;
};

} // namespace currantpitch::admission
