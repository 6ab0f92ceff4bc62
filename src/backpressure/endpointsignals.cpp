#include "backpressure/endpointsignals.h"

#include "backpressure/backpressureconstants.h"

#include <algorithm>

namespace currantpitch::backpressure {

signal_change endpoint_signals::on_answer(const endpoint_signal& signal, core::time_point now)
{
    const auto found = states_.find(signal.endpoint);
    const bool known = found != states_.end();
    if (known && signal.incarnation.value < found->second.incarnation.value) {
        return {};
    }
    if (!known && !signal.request_limit && !signal.leaving && !signal.quiet_time) {
        return {};
    }
    endpoint_state& s = states_[signal.endpoint];
    if (s.incarnation != signal.incarnation) {
        s = endpoint_state{};
        s.incarnation = signal.incarnation;
    }
    signal_change change;
    if (signal.request_limit) {
        const double limit =
            std::clamp(*signal.request_limit, min_request_limit, max_request_limit);
        change.request_limit = s.request_limit != limit;
        s.request_limit = limit;
        s.named_at = now;
    }
    else if (s.request_limit && signal.asked_at > s.named_at) {
        change.request_limit = true;
        s.request_limit.reset();
        s.permit = permit_state::none;
    }
    change.leaving = signal.leaving && !s.leaving;
    s.leaving = s.leaving || signal.leaving;
    if (signal.quiet_time) {
        const core::time_point until =
            now + std::min<core::duration>(*signal.quiet_time, max_quiet_time);
        const bool ends = signal.quiet_time->count() == 0;
        change.quiet_time = ends ? s.quiet_until > now : until > s.quiet_until;
        s.quiet_until = ends ? now : std::max(s.quiet_until, until);
    }
    s.said_at = now;
    if (!s.request_limit && !s.leaving && s.quiet_until <= now) {
        states_.erase(signal.endpoint);
    }
    return change;
}

void endpoint_signals::on_registered(const core::endpoint_id& endpoint,
                                     core::incarnation incarnation)
{
    const auto found = states_.find(endpoint);
    if (found != states_.end() && found->second.incarnation.value < incarnation.value) {
        states_.erase(found);
    }
}

void endpoint_signals::retain(const std::set<core::endpoint_id>& registered, core::time_point now)
{
    std::erase_if(states_, [&registered,
                            now](const std::pair<const core::endpoint_id, endpoint_state>& entry) {
        return !registered.contains(entry.first) &&
               now - entry.second.said_at > unregistered_signal_lifetime;
    });
}

std::optional<double> endpoint_signals::request_limit(const core::endpoint_id& endpoint) const
{
    const auto found = states_.find(endpoint);
    return found == states_.end() ? std::nullopt : found->second.request_limit;
}

bool endpoint_signals::leaving(const core::endpoint_id& endpoint) const
{
    const auto found = states_.find(endpoint);
    return found != states_.end() && found->second.leaving;
}

bool endpoint_signals::declines(const core::endpoint_id& endpoint, core::time_point now) const
{
    const auto found = states_.find(endpoint);
    return found != states_.end() && (found->second.leaving || found->second.quiet_until > now);
}

signal_report endpoint_signals::snapshot(core::time_point now) const
{
    signal_report report;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : states_) {
        const endpoint_state& s = entry.second;
        if (report.signals.size() == max_reported_signals) {
            break;
        }
        if (s.request_limit || s.leaving) {
            report.signals.push_back(
                {entry.first, s.incarnation, s.request_limit, s.leaving,
                 std::chrono::duration_cast<std::chrono::milliseconds>(now - s.said_at)});
        }
    }
    return report;
}

admission endpoint_signals::admission_of(const core::endpoint_id& endpoint,
                                         core::time_point now) const
{
    const auto found = states_.find(endpoint);
    if (found == states_.end()) {
        return admission::unlimited;
    }
    const endpoint_state& s = found->second;
    if (s.leaving) {
        return admission::leaving;
    }
    if (s.quiet_until > now) {
        return admission::quiet;
    }
    if (!s.request_limit) {
        return admission::unlimited;
    }
    switch (s.permit) {
    case permit_state::none:
        break;
    case permit_state::asked:
        return now < s.permit_at + permit_answer_timeout ? admission::pending
                                                         : admission::requestable;
    case permit_state::granted:
        if (now < s.permit_at) {
            return admission::pending;
        }
        return now < s.permit_at + permit_lifetime ? admission::permitted : admission::requestable;
    case permit_state::refused:
        return now < s.permit_at ? admission::refused : admission::requestable;
    }
    return admission::requestable;
}

bool endpoint_signals::admits(const core::endpoint_id& endpoint, core::time_point now) const
{
    const admission a = admission_of(endpoint, now);
    return a == admission::unlimited || a == admission::permitted;
}

core::time_point endpoint_signals::earliest_admission(const core::endpoint_id& endpoint,
                                                      core::time_point now) const
{
    const auto found = states_.find(endpoint);
    if (found == states_.end()) {
        return now;
    }
    const endpoint_state& s = found->second;
    if (s.leaving) {
        return core::time_point::max();
    }
    const bool permit_known =
        s.request_limit && (s.permit == permit_state::granted || s.permit == permit_state::refused);
    return std::max({now, s.quiet_until, permit_known ? s.permit_at : now});
}

void endpoint_signals::take_permit(const core::endpoint_id& endpoint)
{
    const auto found = states_.find(endpoint);
    if (found != states_.end()) {
        found->second.permit = permit_state::none;
    }
}

void endpoint_signals::request_permit(const core::endpoint_id& endpoint,
                                      std::chrono::milliseconds max_wait, core::time_point now)
{
    if (admission_of(endpoint, now) != admission::requestable) {
        return;
    }
    endpoint_state& s = states_.at(endpoint);
    s.permit = permit_state::asked;
    s.permit_at = now;
    ask_for_permit(endpoint, *s.request_limit, max_wait);
}

bool endpoint_signals::on_offer(const permit_offer& offer, core::time_point now)
{
    const auto found = states_.find(offer.endpoint);
    if (found == states_.end() || found->second.permit != permit_state::asked) {
        return false;
    }
    found->second.permit = offer.granted ? permit_state::granted : permit_state::refused;
    found->second.permit_at =
        now + std::clamp(offer.starts_in, std::chrono::milliseconds(0), max_permit_retry);
    return true;
}

} // namespace currantpitch::backpressure
