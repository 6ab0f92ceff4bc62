#include "backpressure/endpointsignals.h"

#include "backpressure/backpressureconstants.h"

#include <algorithm>

namespace currantpitch::backpressure {

bool endpoint_signals::on_answer(const endpoint_signal& signal, core::time_point now)
{
    const auto found = limited_.find(signal.endpoint);
    const bool known = found != limited_.end();
    if (known && signal.incarnation.value < found->second.incarnation.value) {
        return false;
    }
    if (signal.request_limit) {
        const double limit =
            std::clamp(*signal.request_limit, min_request_limit, max_request_limit);
        endpoint_state& s = limited_[signal.endpoint];
        const bool changed =
            !known || s.request_limit != limit || s.incarnation != signal.incarnation;
        s.incarnation = signal.incarnation;
        s.request_limit = limit;
        s.named_at = now;
        return changed;
    }
    if (!known || (signal.incarnation == found->second.incarnation &&
                   signal.asked_at <= found->second.named_at)) {
        return false;
    }
    limited_.erase(found);
    return true;
}

void endpoint_signals::on_registered(const core::endpoint_id& endpoint,
                                     core::incarnation incarnation)
{
    const auto found = limited_.find(endpoint);
    if (found != limited_.end() && found->second.incarnation.value < incarnation.value) {
        limited_.erase(found);
    }
}

void endpoint_signals::retain(const std::set<core::endpoint_id>& registered, core::time_point now)
{
    std::erase_if(limited_, [&registered,
                             now](const std::pair<const core::endpoint_id, endpoint_state>& entry) {
        return !registered.contains(entry.first) &&
               now - entry.second.named_at > unregistered_signal_lifetime;
    });
}

std::optional<double> endpoint_signals::request_limit(const core::endpoint_id& endpoint) const
{
    const auto found = limited_.find(endpoint);
    return found == limited_.end() ? std::nullopt
                                   : std::optional<double>(found->second.request_limit);
}

limit_report endpoint_signals::snapshot(core::time_point now) const
{
    limit_report report;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : limited_) {
        if (report.limits.size() == max_reported_limits) {
            break;
        }
        const core::duration named_ago = now - entry.second.named_at;
        report.limits.push_back({entry.first, entry.second.incarnation, entry.second.request_limit,
                                 std::chrono::duration_cast<std::chrono::milliseconds>(named_ago)});
    }
    return report;
}

admission endpoint_signals::admission_of(const core::endpoint_id& endpoint,
                                         core::time_point now) const
{
    const auto found = limited_.find(endpoint);
    if (found == limited_.end()) {
        return admission::unlimited;
    }
    const endpoint_state& s = found->second;
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
    const auto found = limited_.find(endpoint);
    const bool known_later =
        found != limited_.end() && (found->second.permit == permit_state::granted ||
                                    found->second.permit == permit_state::refused);
    return known_later ? std::max(found->second.permit_at, now) : now;
}

void endpoint_signals::take_permit(const core::endpoint_id& endpoint)
{
    const auto found = limited_.find(endpoint);
    if (found != limited_.end()) {
        found->second.permit = permit_state::none;
    }
}

void endpoint_signals::request_permit(const core::endpoint_id& endpoint,
                                      std::chrono::milliseconds max_wait, core::time_point now)
{
    if (admission_of(endpoint, now) != admission::requestable) {
        return;
    }
    endpoint_state& s = limited_.at(endpoint);
    s.permit = permit_state::asked;
    s.permit_at = now;
    ask_for_permit(endpoint, s.request_limit, max_wait);
}

bool endpoint_signals::on_offer(const permit_offer& offer, core::time_point now)
{
    const auto found = limited_.find(offer.endpoint);
    if (found == limited_.end() || found->second.permit != permit_state::asked) {
        return false;
    }
    found->second.permit = offer.granted ? permit_state::granted : permit_state::refused;
    found->second.permit_at =
        now + std::clamp(offer.starts_in, std::chrono::milliseconds(0), max_permit_retry);
    return true;
}

} // namespace currantpitch::backpressure
