#pragma once

#include "admission/crashtracker.h"
#include "admission/suspectverdict.h"

#include <optional>

namespace currantpitch::admission {

/// How long a request is held back that was found to crash endpoints.
struct request_hold {
    core::workspace_id workspace;
    /// Time of the latest crash or of the finding.
    core::time_point since;
    core::time_point until;
    /// Number of probes that crashed their endpoint.
    unsigned failed_probes = 0;
    /// Time until which a probe may still show its result. All other requests wait for it.
    core::time_point probed_until;
};

/// The requests that are held back because they crash the endpoints which run them. After the hold,
/// one request is let through as a probe: an endpoint that it crashes prolongs the hold, an answer
/// ends it. Bounded: beyond max_held_requests, the one whose latest crash is oldest is dropped.
class request_holds {
public:
    /// Begins the first hold of a request. No effect if it is on record.
    void hold(const fingerprint& request, const core::workspace_id& workspace,
              core::time_point now);
    /// Takes over a peer's hold unless the one on record lasts longer.
    void merge(const fingerprint& request, const request_hold& reported);
    /// Prolongs the hold if the request is on record and the crash is not of an attempt that began
    /// before the hold. Returns whether the request is on record.
    bool on_crash(const fingerprint& request, core::time_point at);
    /// Ends the hold. Returns whether there was one.
    bool release(const fingerprint& request) { return holds_.erase(request) > 0; }

    suspect_verdict verdict(const fingerprint& request, core::time_point now) const;
    /// Time after which a refused request may be tried again.
    core::duration hold_time(const fingerprint& request, core::time_point now) const;
    void begin_probe(const fingerprint& request, core::time_point now);
    /// Ends a probe that has shown nothing, as the request did not run.
    void end_probe(const fingerprint& request);

    const request_hold* find(const fingerprint& request) const;
    const std::unordered_map<fingerprint, request_hold>& all() const { return holds_; }
    /// Drops the holds whose latest crash is older than crash_evidence_lifetime.
    void expire(core::time_point now);

private:
    void make_room();

    std::unordered_map<fingerprint, request_hold> holds_;
};

} // namespace currantpitch::admission
