#include "backpressure/permitbroker.h"

#include "backpressure/backpressureconstants.h"

#include <algorithm>

namespace currantpitch::backpressure {

namespace {

/// The entries do not agree yet on which of them reach each other, or too few of them do.
permit_offer refusal(const permit_request& request)
{
    permit_offer refused;
    refused.endpoint = request.endpoint;
    refused.starts_in = permit_answer_timeout;
    refused.number = request.number;
    return refused;
}

bool is_cold(const permit_request& request)
{
    return request.cold_for.count() > 0;
}

} // namespace

void permit_broker::on_peer_up(const core::host_id& peer, core::time_point now)
{
    group_.on_peer_up(peer);
    group_changed_at_ = now;
}

void permit_broker::on_peer_down(const core::host_id& peer, core::time_point now)
{
    group_.on_peer_down(peer, now);
    group_changed_at_ = now;
    unanswered_since_.erase(peer);
}

void permit_broker::on_running(core::time_point now)
{
    if (running_at_ && now - *running_at_ > max_interruption) {
        interrupted_until_ = now + interruption_recovery;
    }
    running_at_ = now;
}

permit_source permit_broker::request(const permit_request& request, core::time_point now)
{
    if (is_cold(request)) {
        return request_cold(request, now);
    }
    permit_source source;
    const core::host_id owner = group_.permit_owner(request.endpoint);
    if (owner == self_) {
        source.own_offer = issue_shared(request, now);
        return source;
    }
    source.owner = owner;
    if (is_silent(owner, now)) {
        source.own_offer =
            own_permits_.issue(request.endpoint, request.per_second * group_.own_part(),
                               request.max_wait, unanswered_since_.at(owner), now);
        source.own_offer->number = request.number;
    }
    unanswered_since_.try_emplace(owner, now);
    return source;
}

permit_source permit_broker::request_cold(const permit_request& request, core::time_point now)
{
    permit_source source;
    if (own_permit_at(request.endpoint, request.per_second, now) <= now) {
        source.own_offer =
            own_permits_.issue(request.endpoint, cold_budget::own_rate(), {}, {}, now, 1);
        source.own_offer->number = request.number;
        return source;
    }
    const core::host_id owner = group_.permit_owner(request.endpoint);
    if (owner == self_) {
        source.own_offer = issue_shared(request, now);
    }
    else {
        source.owner = owner;
    }
    return source;
}

core::time_point permit_broker::own_permit_at(const core::endpoint_id& endpoint, double per_second,
                                              core::time_point now) const
{
    const cold_budget budget(per_second, cold_bounds_);
    return group_.settled(now) && group_.holds_part(endpoint, budget.own_parts())
               ? own_permits_.next_start(endpoint, now)
               : core::time_point::max();
}

permit_offer permit_broker::issue_shared(const permit_request& request, core::time_point now)
{
    permit_offer offer;
    if (!is_cold(request)) {
        offer =
            shared_permits_.issue(request.endpoint, request.per_second * group_.pooled_part(now),
                                  request.max_wait, group_changed_at_, now);
        offer.number = request.number;
        return offer;
    }
    if (running_at_) {
        on_running(now);
    }
    // Two entries that do not reach each other may both reach a majority.
    const double rate =
        cold_budget(request.per_second, cold_bounds_).pooled_rate(group_.complete() ? 1 : 2);
    if (!group_.settled(now) || !group_.majority() || rate < min_request_limit ||
        now < interrupted_until_) {
        return refusal(request);
    }
    offer =
        shared_permits_.issue(request.endpoint, rate, request.max_wait, group_changed_at_, now, 1);
    offer.number = request.number;
    return offer;
}

permit_offer permit_broker::grant(const permit_request& request, core::time_point now)
{
    return owns(request.endpoint) ? issue_shared(request, now) : refusal(request);
}

bool permit_broker::is_silent(const core::host_id& owner, core::time_point now) const
{
    const auto found = unanswered_since_.find(owner);
    return found != unanswered_since_.end() && now - found->second >= permit_answer_timeout;
}

} // namespace currantpitch::backpressure
