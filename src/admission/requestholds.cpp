#include "admission/requestholds.h"

#include "admission/admissionconstants.h"
#include "admission/holdtime.h"

#include <algorithm>

namespace currantpitch::admission {

void request_holds::make_room()
{
    if (holds_.size() < max_held_requests) {
        return;
    }
    holds_.erase(std::min_element(holds_.begin(), holds_.end(), [](const auto& a, const auto& b) {
        return a.second.since < b.second.since;
    }));
}

void request_holds::hold(const fingerprint& request, const core::workspace_id& workspace,
                         core::time_point now)
{
    if (holds_.contains(request)) {
        return;
    }
    make_room();
    holds_[request] = {workspace, now, now + hold_after(0, initial_hold), 0, {}};
}

void request_holds::merge(const fingerprint& request, const request_hold& reported)
{
    const auto known = holds_.find(request);
    if (known == holds_.end()) {
        make_room();
        holds_[request] = reported;
        return;
    }
    request_hold& own = known->second;
    own.probed_until = std::max(own.probed_until, reported.probed_until);
    if (reported.failed_probes > own.failed_probes) {
        own.since = reported.since;
        own.until = reported.until;
        own.failed_probes = reported.failed_probes;
    }
}

bool request_holds::on_crash(const fingerprint& request, core::time_point at)
{
    const auto found = holds_.find(request);
    if (found == holds_.end()) {
        return false;
    }
    request_hold& h = found->second;
    if (at >= h.until) {
        ++h.failed_probes;
        h.since = at;
        h.until = at + hold_after(h.failed_probes, initial_hold);
        h.probed_until = {};
    }
    return true;
}

suspect_verdict request_holds::verdict(const fingerprint& request, core::time_point now) const
{
    if (!holds_.contains(request)) {
        return suspect_verdict::admit;
    }
    return hold_time(request, now) > core::duration::zero() ? suspect_verdict::refuse
                                                            : suspect_verdict::probe;
}

core::duration request_holds::hold_time(const fingerprint& request, core::time_point now) const
{
    const request_hold* const h = find(request);
    return h == nullptr ? core::duration::zero() : std::max({h->until, h->probed_until, now}) - now;
}

void request_holds::begin_probe(const fingerprint& request, core::time_point now)
{
    const auto found = holds_.find(request);
    if (found != holds_.end()) {
        found->second.probed_until = now + probe_timeout;
    }
}

void request_holds::end_probe(const fingerprint& request)
{
    const auto found = holds_.find(request);
    if (found != holds_.end()) {
        found->second.probed_until = {};
    }
}

const request_hold* request_holds::find(const fingerprint& request) const
{
    const auto found = holds_.find(request);
    return found == holds_.end() ? nullptr : &found->second;
}

void request_holds::expire(core::time_point now)
{
    std::erase_if(holds_, [now](const std::pair<const fingerprint, request_hold>& entry) {
        return now - entry.second.since > crash_evidence_lifetime && now >= entry.second.until;
    });
}

} // namespace currantpitch::admission
