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

/// A request that was running on an endpoint when the endpoint failed.
struct crash_record {
    fingerprint request;
    core::workspace_id workspace;
    core::endpoint_id endpoint;
    core::failure_domain_id failure_domain;
    core::incarnation endpoint_incarnation;
    /// The request ran alone among requests under suspicion.
    bool isolated = false;
    core::time_point at;
};

enum class suspicion_level {
    clear,
    suspect,     ///< was on one endpoint that died: runs alone among such requests
    held,        ///< was on two, one of them just now: refused until the cause is clear
    quarantined, ///< refused until the quarantine expires
};
std::string_view to_string(suspicion_level s);

/// A request that crashed several endpoints.
struct quarantine_finding {
    fingerprint request;
    core::workspace_id workspace;
    std::vector<std::string> evidence;
};

/// Finds requests that crash the endpoints which run them. Evidence is an endpoint incarnation that
/// died while running the request. Two deaths lead to quarantine when the request ran in isolation
/// at one of them. A death does not count when many endpoints of its failure domain died at the
/// time: then the cause lies outside the requests.
class crash_tracker {
public:
    /// Records that an endpoint failed, whether or not it was running a request.
    void on_endpoint_failure(const core::failure_domain_id& domain, core::incarnation endpoint,
                             core::time_point at);
    void on_crash(const crash_record& note);
    /// The request ran to its end somewhere, so it does not crash endpoints.
    void on_success(const fingerprint& request);
    /// A quarantine that another process found, or the end of one.
    void set_quarantined(const fingerprint& request, bool quarantined);

    suspicion_level suspicion_of(const fingerprint& request, core::time_point now) const;
    /// Requests to quarantine now; each is returned once.
    std::vector<quarantine_finding> take_findings(core::time_point now);
    /// Forgets suspicions beyond their lifetime.
    void expire(core::time_point now);
    std::size_t suspects() const { return suspects_.size(); }

private:
    struct evidence {
        core::endpoint_id endpoint;
        core::failure_domain_id failure_domain;
        core::incarnation incarnation;
        bool isolated = false;
        core::time_point at;
    };
    struct suspect_state {
        core::workspace_id workspace;
        std::vector<evidence> seen;
    };
    struct death {
        core::failure_domain_id failure_domain;
        core::incarnation incarnation;
        core::time_point at;
    };

    bool in_mass_failure(const suspect_state& s, const evidence& e) const;
    bool proven(const suspect_state& s, core::time_point now) const;

    std::unordered_map<fingerprint, suspect_state> suspects_;
    std::set<fingerprint> quarantined_;
    std::deque<death> deaths_;
};

} // namespace currantpitch::admission
