#include "backpressure/permitbroker.h"

#include "backpressure/backpressureconstants.h"

namespace currantpitch::backpressure {

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

permit_source permit_broker::request(const core::endpoint_id& endpoint, double per_second,
                                     std::chrono::milliseconds max_wait, core::time_point now)
{
    permit_source source;
    const core::host_id owner = group_.permit_owner(endpoint);
    if (owner == self_) {
        source.own_offer = shared_permits_.issue(endpoint, per_second * group_.pooled_part(now),
                                                 max_wait, group_changed_at_, now);
        return source;
    }
    source.owner = owner;
    if (is_silent(owner, now)) {
        source.own_offer = own_permits_.issue(endpoint, per_second * group_.own_part(), max_wait,
                                              unanswered_since_.at(owner), now);
    }
    unanswered_since_.try_emplace(owner, now);
    return source;
}

permit_offer permit_broker::grant(const core::endpoint_id& endpoint, double per_second,
                                  std::chrono::milliseconds max_wait, core::time_point now)
{
    if (group_.permit_owner(endpoint) == self_) {
        return shared_permits_.issue(endpoint, per_second * group_.pooled_part(now), max_wait,
                                     group_changed_at_, now);
    }
    // The entries do not agree yet on which of them reach each other.
    permit_offer refused;
    refused.endpoint = endpoint;
    refused.starts_in = permit_answer_timeout;
    return refused;
}

bool permit_broker::is_silent(const core::host_id& owner, core::time_point now) const
{
    const auto found = unanswered_since_.find(owner);
    return found != unanswered_since_.end() && now - found->second >= permit_answer_timeout;
}

} // namespace currantpitch::backpressure
