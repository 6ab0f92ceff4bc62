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
    if (s.empty(now)) {
        states_.erase(signal.endpoint);
    }
    return change;
}

bool endpoint_signals::on_cold(const core::endpoint_id& endpoint, core::incarnation incarnation,
                               double per_second, std::chrono::milliseconds cold_for,
                               core::time_point now)
{
    const auto found = states_.find(endpoint);
    const bool known = found != states_.end();
    const bool ends = cold_for.count() <= 0;
    if (known ? incarnation.value < found->second.incarnation.value : ends) {
        return false;
    }
    endpoint_state& s = states_[endpoint];
    if (s.incarnation != incarnation) {
        s = endpoint_state{};
        s.incarnation = incarnation;
    }
    const bool begins = !ends && !s.cold(now);
    if (begins) {
        s.cold_since = now;
        s.permit = permit_state::none;
    }
    s.cold_per_second = std::clamp(per_second, min_request_limit, max_request_limit);
    s.cold_assumed = false;
    s.cold_until = ends ? now : now + std::min<core::duration>(cold_for, max_cold_time);
    s.said_at = now;
    if (s.empty(now)) {
        states_.erase(endpoint);
    }
    return begins;
}

bool endpoint_signals::on_cold_report(const core::endpoint_id& endpoint,
                                      core::incarnation incarnation, double per_second,
                                      std::chrono::milliseconds cold_for, core::time_point now)
{
    const auto found = states_.find(endpoint);
    const bool known_for_longer = found != states_.end() &&
                                  found->second.incarnation == incarnation &&
                                  found->second.cold_until >= now + cold_for;
    return !known_for_longer && on_cold(endpoint, incarnation, per_second, cold_for, now);
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

void endpoint_signals::assume_cold(const core::endpoint_id& endpoint, core::incarnation incarnation,
                                   double per_second, std::chrono::milliseconds cold_for,
                                   core::time_point now)
{
    const bool known_as_cold = report_of(endpoint, now).value_or(reported_signal{}).cold_for >
                               std::chrono::milliseconds(0);
    on_cold_report(endpoint, incarnation, per_second, cold_for, now);
    const auto found = states_.find(endpoint);
    if (found != states_.end()) {
        found->second.cold_assumed = !known_as_cold;
    }
}

std::chrono::milliseconds endpoint_signals::cold_for(const core::endpoint_id& endpoint,
                                                     core::time_point now) const
{
    const auto found = states_.find(endpoint);
    return found == states_.end() || !found->second.cold(now)
               ? std::chrono::milliseconds(0)
               : std::chrono::ceil<std::chrono::milliseconds>(found->second.cold_until - now);
}

std::optional<double> endpoint_signals::endpoint_state::accepted_rate(core::time_point now) const
{
    if (!cold(now)) {
        return request_limit;
    }
    return std::min(cold_per_second, request_limit.value_or(cold_per_second));
}

std::optional<double> endpoint_signals::accepted_rate(const core::endpoint_id& endpoint,
                                                      core::time_point now) const
{
    const auto found = states_.find(endpoint);
    return found == states_.end() ? std::nullopt : found->second.accepted_rate(now);
}

std::size_t endpoint_signals::cold_count(core::time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(states_.begin(), states_.end(),
                      [now](const std::pair<const core::endpoint_id, endpoint_state>& entry) {
                          return entry.second.cold(now);
                      }));
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

bool endpoint_signals::may_send(const core::endpoint_id& endpoint, core::time_point started_at,
                                core::time_point now) const
{
    const auto found = states_.find(endpoint);
    return found == states_.end() || !found->second.cold(now) ||
           (started_at >= found->second.cold_since && now - started_at <= cold_permit_lifetime);
}

std::optional<reported_signal> endpoint_signals::report_of(const core::endpoint_id& endpoint,
                                                           const endpoint_state& s,
                                                           core::time_point now)
{
    const bool known_as_cold = s.cold(now) && !s.cold_assumed;
    if (!s.request_limit && !s.leaving && !known_as_cold) {
        return std::nullopt;
    }
    reported_signal report{endpoint, s.incarnation, s.request_limit, s.leaving,
                           std::chrono::duration_cast<std::chrono::milliseconds>(now - s.said_at)};
    if (known_as_cold) {
        report.cold_for = std::chrono::ceil<std::chrono::milliseconds>(s.cold_until - now);
        report.cold_per_second = s.cold_per_second;
    }
    return report;
}

std::optional<reported_signal> endpoint_signals::report_of(const core::endpoint_id& endpoint,
                                                           core::time_point now) const
{
    const auto found = states_.find(endpoint);
    return found == states_.end() ? std::nullopt : report_of(endpoint, found->second, now);
}

signal_report endpoint_signals::snapshot(core::time_point now) const
{
    signal_report report;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : states_) {
        if (report.signals.size() == max_reported_signals) {
            break;
        }
        const std::optional<reported_signal> known = report_of(entry.first, entry.second, now);
        if (known) {
            report.signals.push_back(*known);
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
    if (!s.accepted_rate(now)) {
        return admission::unlimited;
    }
    const admission a = s.permit_admission(now);
    const bool at_hand = a != admission::permitted && s.cold(now) &&
                         own_permit_at(endpoint, *s.accepted_rate(now), now) <= now;
    return at_hand ? admission::at_hand : a;
}

admission endpoint_signals::endpoint_state::permit_admission(core::time_point now) const
{
    switch (permit) {
    case permit_state::none:
        break;
    case permit_state::asked:
        return now < permit_at + permit_answer_timeout ? admission::pending
                                                       : admission::requestable;
    case permit_state::granted:
        if (now < permit_at) {
            return admission::pending;
        }
        return now < permit_at + (cold(now) ? cold_permit_lifetime : permit_lifetime)
                   ? admission::permitted
                   : admission::requestable;
    case permit_state::refused:
        return now < permit_at ? admission::refused : admission::requestable;
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
    const std::optional<double> rate = s.accepted_rate(now);
    const bool permit_known =
        rate && (s.permit == permit_state::granted || s.permit == permit_state::refused);
    core::time_point permit_at = permit_known ? s.permit_at : now;
    if (permit_known && s.cold(now)) {
        // The end of the cold time ends the need for a permit, unless the endpoint has a limit.
        permit_at = std::min(permit_at, own_permit_at(endpoint, *rate, now));
        permit_at = s.request_limit ? permit_at : std::min(permit_at, s.cold_until);
    }
    return std::max({now, s.quiet_until, permit_at});
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
    const admission a = admission_of(endpoint, now);
    if (a != admission::requestable && a != admission::at_hand) {
        return;
    }
    endpoint_state& s = states_.at(endpoint);
    s.permit = permit_state::asked;
    s.permit_at = now;
    s.asked_number = ++last_number_;
    ask_for_permit({endpoint, *s.accepted_rate(now), max_wait, s.incarnation,
                    cold_for(endpoint, now), s.asked_number, s.cold_assumed});
}

bool endpoint_signals::on_offer(const permit_offer& offer, core::time_point now)
{
    const auto found = states_.find(offer.endpoint);
    if (found == states_.end() || found->second.permit != permit_state::asked) {
        return false;
    }
    // An offer that this process receives late, as after an interruption, would add to those of a
    // later time.
    const bool late =
        found->second.cold(now) && (offer.number != found->second.asked_number ||
                                    now - found->second.permit_at > permit_answer_timeout);
    if (late) {
        return false;
    }
    found->second.permit = offer.granted ? permit_state::granted : permit_state::refused;
    found->second.permit_at =
        now + std::clamp(offer.starts_in, std::chrono::milliseconds(0), max_permit_retry);
    return true;
}

} // namespace currantpitch::backpressure
