#include "proxy/requestguard.h"

#include "admission/admissionconstants.h"
#include "core/counters.h"
#include "core/eventlog.h"

namespace currantpitch::proxy {

using admission::fingerprint;
using admission::suspect_verdict;
using admission::suspicion_level;
using admission::suspicion_report;

namespace {

std::chrono::milliseconds age_of(core::time_point at)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(core::runtime_clock::now() - at);
}

std::chrono::milliseconds time_until(core::time_point at)
{
    return std::max(-age_of(at), std::chrono::milliseconds::zero());
}

admission::crash_report to_reported(const admission::crash_record& crash)
{
    return {crash.request.str(),        crash.workspace, crash.endpoint,  crash.failure_domain,
            crash.endpoint_incarnation, crash.isolated,  age_of(crash.at)};
}

admission::crash_record from_reported(const admission::crash_report& crash)
{
    return {fingerprint(crash.fingerprint),
            crash.workspace,
            crash.endpoint,
            crash.failure_domain,
            crash.endpoint_incarnation,
            crash.isolated,
            core::runtime_clock::now() - crash.age};
}

} // namespace

bool request_guard::refuses(const fingerprint& request) const
{
    const core::time_point now = core::runtime_clock::now();
    return holds_.verdict(request, now) == suspect_verdict::refuse ||
           crashes_.suspicion_of(request, now) >= suspicion_level::held;
}

std::chrono::milliseconds request_guard::retry_after(const fingerprint& request) const
{
    const core::duration hold = holds_.hold_time(request, core::runtime_clock::now());
    // Without a hold, the cause of the crashes is known when the window for mass failures ends.
    return hold > core::duration::zero() ? std::chrono::ceil<std::chrono::milliseconds>(hold)
                                         : admission::mass_failure_window;
}

void request_guard::admit(const std::string& request_id, const fingerprint& request)
{
    const core::time_point now = core::runtime_clock::now();
    if (holds_.verdict(request, now) != suspect_verdict::probe) {
        return;
    }
    core::log_event("request_probe").field("request", request_id).field("fingerprint", request);
    holds_.begin_probe(request, now);
    suspicion_report report;
    report.holds.push_back(reported(request, *holds_.find(request)));
    publish_(report);
}

bool request_guard::clear(const fingerprint& request, bool by_own_answer)
{
    const bool suspected = crashes_.crash_count(request) > 0;
    if (suspected) {
        crashes_.on_success(request);
    }
    seen_here_.erase(request);
    const bool held = holds_.release(request);
    if (held) {
        core::log_event("request_cleared").field("fingerprint", request);
        on_cleared(request, by_own_answer);
    }
    return suspected || held;
}

void request_guard::publish_clearance(const fingerprint& request)
{
    suspicion_report report;
    report.cleared.push_back({request.str()});
    publish_(report);
}

void request_guard::on_answered(const fingerprint& request)
{
    if (clear(request, true)) {
        publish_clearance(request);
    }
}

void request_guard::on_stored_hold(const fingerprint& request, const core::workspace_id& workspace)
{
    if (holds_.find(request) == nullptr) {
        core::log_event("request_held")
            .field("fingerprint", request)
            .field("workspace", workspace)
            .field("evidence", "stored");
        holds_.hold(request, workspace, core::runtime_clock::now());
        crashes_.on_success(request);
    }
}

void request_guard::lift(const fingerprint& request)
{
    if (clear(request, false)) {
        publish_clearance(request);
    }
}

void request_guard::apply_crash(const admission::crash_record& crash)
{
    if (!holds_.on_crash(crash.request, crash.at)) {
        crashes_.on_crash(crash);
    }
}

void request_guard::on_crash(const admission::crash_record& crash)
{
    apply_crash(crash);
    if (crashes_.crash_count(crash.request) > 0) {
        seen_here_.insert(crash.request);
    }
    suspicion_report report;
    report.crashes.push_back(to_reported(crash));
    publish_(report);
}

void request_guard::on_report(const suspicion_report& report)
{
    const core::time_point now = core::runtime_clock::now();
    for (const admission::reported_hold& h : report.holds) {
        const fingerprint request(h.fingerprint);
        holds_.merge(request, {h.workspace, now - h.age, now + h.held_for, h.failed_probes,
                               now + h.probed_for});
        crashes_.on_success(request);
    }
    for (const admission::crash_report& c : report.crashes) {
        apply_crash(from_reported(c));
    }
    for (const admission::suspicion_clearance& c : report.cleared) {
        clear(fingerprint(c.fingerprint), false);
    }
}

admission::reported_hold request_guard::reported(const fingerprint& request,
                                                 const admission::request_hold& h) const
{
    return {request.str(),       h.workspace,     age_of(h.since),
            time_until(h.until), h.failed_probes, time_until(h.probed_until)};
}

std::optional<suspicion_report> request_guard::snapshot() const
{
    suspicion_report report;
    for (const admission::crash_record& crash : crashes_.records()) {
        report.crashes.push_back(to_reported(crash));
    }
    for (const std::pair<const fingerprint, admission::request_hold>& h : holds_.all()) {
        report.holds.push_back(reported(h.first, h.second));
    }
    const bool empty = report.crashes.empty() && report.holds.empty();
    return empty ? std::nullopt : std::optional<suspicion_report>(report);
}

void request_guard::update(core::time_point now)
{
    for (const admission::quarantine_finding& finding : crashes_.take_findings(now)) {
        // The hold replaces the quarantine that the tracker would keep until it is told of its end.
        crashes_.set_quarantined(finding.request, false);
        holds_.hold(finding.request, finding.workspace, now);
        core::counter_for("requests_held_total").add();
        core::log_event("request_held", core::log_event::level::warning)
            .field("fingerprint", finding.request)
            .field("workspace", finding.workspace)
            .field("evidence", finding.evidence.size())
            .field("for_ms", core::to_milliseconds(holds_.hold_time(finding.request, now)));
        if (seen_here_.erase(finding.request) > 0) {
            on_held(finding);
        }
    }
    crashes_.expire(now);
    std::erase_if(seen_here_, [this](const fingerprint& request) {
        return crashes_.crash_count(request) == 0;
    });
    holds_.expire(now);
    core::gauge_for("requests_held").set(static_cast<double>(holds_.all().size()));
    core::gauge_for("requests_suspected").set(static_cast<double>(crashes_.suspect_count()));
}

} // namespace currantpitch::proxy
