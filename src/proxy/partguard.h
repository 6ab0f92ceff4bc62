#pragma once

#include "admission/admissionmessages.h"
#include "admission/partsuspects.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace currantpitch::proxy {

/// Keeps requests whose prompts crash endpoints away from one service. Collects the evidence of
/// this entry and of its peers, and reports what the peers need to know.
class part_guard {
public:
    /// Sends a report to all peers.
    using publisher = std::function<void(const admission::part_report&)>;

    part_guard(core::service_id service, publisher publish)
        : service_(std::move(service)), publish_(std::move(publish))
    {
    }

    /// Whether a request with these parts must not be sent now.
    bool refuses(const std::vector<core::prompt_part_id>& parts) const;
    /// Time after which the peers' or this entry's probes may have cleared a refused request.
    std::chrono::milliseconds retry_after(const std::vector<core::prompt_part_id>& parts) const;
    /// Decides whether a request is sent now. If it is, and its parts are suspected, it runs as the
    /// only probe.
    bool admit(const std::string& request, const std::vector<core::prompt_part_id>& parts);
    /// The request was not run, so a probe that it may have been has shown nothing.
    void on_not_run(const std::vector<core::prompt_part_id>& parts) { suspects_.end_probe(parts); }
    /// An endpoint made progress with a request.
    void on_progress(const std::vector<core::prompt_part_id>& parts);
    /// An endpoint crashed while it ran a request without progress.
    void on_crash(const admission::part_crash& crash);

    /// Applies a peer's report. Returns what the peer, or all peers if the report was a reply, do
    /// not know yet.
    std::optional<admission::part_report> on_report(const admission::part_report& report);
    /// Everything that a peer without knowledge needs. Nothing if there were no crashes.
    std::optional<admission::part_report> snapshot() const;
    void expire(core::time_point now) { suspects_.expire(now); }

private:
    admission::part_report empty_report() const;
    void add_progress(admission::part_report& report,
                      const std::vector<core::prompt_part_id>& parts) const;
    /// Whether this entry has seen progress that decides about a crash of that age and that the
    /// report lacks.
    bool knows_more_progress(const core::prompt_part_id& part, std::chrono::milliseconds crash_age,
                             const admission::part_report& report) const;
    void log_suspects() const;

    core::service_id service_;
    publisher publish_;
    admission::part_suspects suspects_;
};

} // namespace currantpitch::proxy
