#pragma once

#include "admission/admissionmessages.h"
#include "admission/crashtracker.h"
#include "admission/requestholds.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace currantpitch::proxy {

/// Keeps requests that crash endpoints away from all of them. A request is known by its
/// fingerprint, whatever service its route leads to. Collects the evidence of this entry and of its
/// peers, and reports what the peers need to know.
class request_guard {
public:
    /// Sends a report to all peers.
    using publisher = std::function<void(const admission::suspicion_report&)>;

    explicit request_guard(publisher publish) : publish_(std::move(publish)) {}

    /// Whether the request must not be sent now.
    bool refuses(const admission::fingerprint& request) const;
    /// Time after which a refused request may be tried again.
    std::chrono::milliseconds retry_after(const admission::fingerprint& request) const;
    /// Notes that a request which is not refused is sent now. If it is on record for crashes, it
    /// runs as the only probe.
    void admit(const std::string& request_id, const admission::fingerprint& request);
    /// The request was not run, so a probe that it may have been has shown nothing.
    void on_not_run(const admission::fingerprint& request) { holds_.end_probe(request); }
    /// An endpoint has answered the request, so that it does not crash endpoints.
    void on_answered(const admission::fingerprint& request);
    /// The store has a hold of the request. It begins anew if this entry does not know it.
    void on_stored_hold(const admission::fingerprint& request, const core::workspace_id& workspace);
    /// Ends the hold of a request at all entries, as an operator demands.
    void lift(const admission::fingerprint& request);
    /// An endpoint crashed while it ran the request.
    void on_crash(const admission::crash_record& crash);
    /// Number of crashes on record for a request that is not held back.
    std::size_t crash_count(const admission::fingerprint& request) const
    {
        return crashes_.crash_count(request);
    }

    void on_report(const admission::suspicion_report& report);
    /// Everything that a peer without knowledge needs. Nothing if there were no crashes.
    std::optional<admission::suspicion_report> snapshot() const;
    /// Holds back the requests whose evidence suffices by now, and forgets what is too old.
    void update(core::time_point now);

    /// Is called when a request is held back on evidence that includes crashes which this entry
    /// saw.
    std::function<void(const admission::quarantine_finding&)> on_held =
        [](const admission::quarantine_finding&) {
        };
    /// Is called when the hold of a request ends, by an answer through this entry or in another
    /// way.
    std::function<void(const admission::fingerprint&, bool by_own_answer)> on_cleared =
        [](const admission::fingerprint&, bool) {
        };

private:
    void apply_crash(const admission::crash_record& crash);
    /// Forgets the evidence against a request and ends its hold. Returns whether there was any.
    bool clear(const admission::fingerprint& request, bool by_own_answer);
    void publish_clearance(const admission::fingerprint& request);
    admission::reported_hold reported(const admission::fingerprint& request,
                                      const admission::request_hold& h) const;

    publisher publish_;
    admission::crash_tracker crashes_;
    admission::request_holds holds_;
    /// Suspects under which this entry saw endpoints crash.
    std::set<admission::fingerprint> seen_here_;
};

} // namespace currantpitch::proxy
