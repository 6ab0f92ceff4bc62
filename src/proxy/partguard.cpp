#include "proxy/partguard.h"

#include "core/eventlog.h"
#include "core/text.h"

#include <algorithm>

namespace currantpitch::proxy {

using admission::part_report;
using admission::suspect_verdict;
using part_ids = std::vector<core::prompt_part_id>;

namespace {

std::chrono::milliseconds age_of(core::time_point at)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(core::runtime_clock::now() - at);
}

admission::reported_part_crash to_reported(const admission::part_crash& crash)
{
    return {crash.parts, crash.endpoint, crash.endpoint_incarnation, crash.answer_begun,
            age_of(crash.at)};
}

admission::part_crash from_reported(const admission::reported_part_crash& crash)
{
    return {crash.parts, crash.endpoint, crash.endpoint_incarnation, crash.answer_begun,
            core::runtime_clock::now() - crash.age};
}

} // namespace

bool part_guard::refuses(const part_ids& parts) const
{
    return suspects_.verdict(parts, core::runtime_clock::now()) == suspect_verdict::refuse;
}

std::chrono::milliseconds part_guard::retry_after(const part_ids& parts) const
{
    return std::chrono::ceil<std::chrono::milliseconds>(
        suspects_.hold_time(parts, core::runtime_clock::now()));
}

bool part_guard::admit(const std::string& request, const part_ids& parts)
{
    const core::time_point now = core::runtime_clock::now();
    const suspect_verdict verdict = suspects_.verdict(parts, now);
    if (verdict != suspect_verdict::probe) {
        return verdict == suspect_verdict::admit;
    }
    core::log_event("part_probe")
        .field("service", service_)
        .field("request", request)
        .field("parts", core::join(parts, ','));
    suspects_.begin_probe(parts, now);
    part_report report = empty_report();
    report.probed = parts;
    publish_(report);
    return true;
}

void part_guard::on_progress(const part_ids& parts)
{
    const part_ids cleared = suspects_.on_progress(parts, core::runtime_clock::now());
    if (cleared.empty()) {
        return;
    }
    core::log_event("part_cleared")
        .field("service", service_)
        .field("parts", core::join(cleared, ','));
    log_suspects();
    part_report report = empty_report();
    add_progress(report, cleared);
    publish_(report);
}

void part_guard::on_crash(const admission::part_crash& crash)
{
    if (!suspects_.on_crash(crash)) {
        return;
    }
    log_suspects();
    part_report report = empty_report();
    report.crashes.push_back(to_reported(crash));
    add_progress(report, crash.parts);
    publish_(report);
}

std::optional<part_report> part_guard::on_report(const part_report& report)
{
    bool changed = false;
    part_report answer = empty_report();
    answer.is_reply = !report.is_reply;
    for (const admission::reported_part_progress& p : report.progress) {
        const part_ids part{p.part};
        const std::optional<core::time_point> before = suspects_.last_progress(p.part);
        if (!suspects_.on_progress(part, core::runtime_clock::now() - p.age).empty() || !before) {
            changed = true;
            add_progress(answer, part);
        }
    }
    if (!report.is_reply) {
        // The peer knows all progress that it reported.
        answer.progress.clear();
    }
    for (const admission::reported_part_crash& c : report.crashes) {
        changed = suspects_.on_crash(from_reported(c)) || changed;
        part_ids unknown_to_peer;
        for (const core::prompt_part_id& part : c.parts) {
            if (knows_more_progress(part, c.age, report)) {
                unknown_to_peer.push_back(part);
            }
        }
        add_progress(answer, unknown_to_peer);
    }
    if (!report.probed.empty()) {
        suspects_.begin_probe(report.probed, core::runtime_clock::now());
    }
    if (changed) {
        log_suspects();
    }
    return answer.progress.empty() ? std::nullopt : std::optional<part_report>(answer);
}

bool part_guard::knows_more_progress(const core::prompt_part_id& part,
                                     std::chrono::milliseconds crash_age,
                                     const part_report& report) const
{
    const auto reported = std::find_if(
        report.progress.begin(), report.progress.end(),
        [&part](const admission::reported_part_progress& p) { return p.part == part; });
    if (reported == report.progress.end()) {
        return true;
    }
    const std::optional<core::time_point> known = suspects_.last_progress(part);
    return known && age_of(*known) < crash_age && reported->age >= crash_age;
}

std::optional<part_report> part_guard::snapshot() const
{
    if (suspects_.crashes().empty()) {
        return std::nullopt;
    }
    part_report report = empty_report();
    for (const admission::part_crash& crash : suspects_.crashes()) {
        report.crashes.push_back(to_reported(crash));
        add_progress(report, crash.parts);
    }
    return report;
}

part_report part_guard::empty_report() const
{
    part_report report;
    report.service = service_;
    return report;
}

void part_guard::add_progress(part_report& report, const part_ids& parts) const
{
    for (const core::prompt_part_id& part : parts) {
        const std::optional<core::time_point> at = suspects_.last_progress(part);
        const bool added = std::any_of(
            report.progress.begin(), report.progress.end(),
            [&part](const admission::reported_part_progress& p) { return p.part == part; });
        if (at && !added) {
            report.progress.push_back({part, age_of(*at)});
        }
    }
}

void part_guard::log_suspects() const
{
    std::string text;
    for (const part_ids& set : suspects_.suspects()) {
        text += (text.empty() ? "" : ",") + core::join(set, '+');
    }
    core::log_event("parts_suspected").field("service", service_).field("suspects", text);
}

} // namespace currantpitch::proxy
