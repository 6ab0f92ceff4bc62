#pragma once

#include "backpressure/coldbudget.h"
#include "backpressure/entrygroup.h"
#include "backpressure/permitissuer.h"

#include <map>
#include <optional>
#include <set>

namespace currantpitch::backpressure {

/// How an entry gets a permit: from the owner of the endpoint's permits, from itself, or both ways
/// at once.
struct permit_source {
    std::optional<core::host_id> owner;
    std::optional<permit_offer> own_offer;
};

/// Decides where this entry gets permits and which permits it grants to others. An entry that gets
/// no answer from the owner of an endpoint's permits uses its own part of the limit meanwhile.
///
/// The requests to a cold endpoint are bounded within any second, so that a part of one request in
/// many seconds for each entry is of no use: many entries might send theirs together. Some entries,
/// others for each endpoint, have a part of a request in a second each and use it first. The rest
/// is issued by an owner that reaches a majority of the entries.
class permit_broker {
public:
    explicit permit_broker(core::host_id self) : self_(self), group_(std::move(self)) {}

    void set_registered(const std::set<core::host_id>& hosts, core::time_point now)
    {
        group_.set_registered(hosts, now);
    }
    void on_peer_up(const core::host_id& peer, core::time_point now);
    void on_peer_down(const core::host_id& peer, core::time_point now);

    void set_cold_bounds(const cold_bounds& bounds) { cold_bounds_ = bounds; }
    /// Must be called at short intervals. Permits are not issued for a while after an interruption
    /// of the process, because another entry may have issued some meanwhile.
    void on_running(core::time_point now);

    /// Requests a permit for this entry. The caller asks the owner if one is returned.
    permit_source request(const permit_request& request, core::time_point now);
    /// Earliest time at which this entry may use its own part of what the cold endpoint accepts, or
    /// core::time_point::max() if it has none.
    core::time_point own_permit_at(const core::endpoint_id& endpoint, double per_second,
                                   core::time_point now) const;
    /// Whether this entry issues the permits of the endpoint to those it reaches.
    bool owns(const core::endpoint_id& endpoint) const
    {
        return group_.permit_owner(endpoint) == self_;
    }
    /// Records an answer of the owner of some permits.
    void on_answer(const core::host_id& owner) { unanswered_since_.erase(owner); }
    /// Answers the request of a peer for a permit.
    permit_offer grant(const permit_request& request, core::time_point now);

private:
    /// Issues one of the permits for all entries that reach each other.
    permit_offer issue_shared(const permit_request& request, core::time_point now);
    permit_source request_cold(const permit_request& request, core::time_point now);
    bool is_silent(const core::host_id& owner, core::time_point now) const;

    core::host_id self_;
    entry_group group_;
    /// Latest time at which an entry became reachable or unreachable, so that the owners of permits
    /// may have changed.
    core::time_point group_changed_at_;
    /// Permits for all entries that reach each other.
    permit_issuer shared_permits_;
    /// Permits for this entry while the owner of the shared ones does not answer.
    permit_issuer own_permits_;
    /// Time of the first request that an owner has not answered.
    std::map<core::host_id, core::time_point> unanswered_since_;
    cold_bounds cold_bounds_;
    std::optional<core::time_point> running_at_;
    core::time_point interrupted_until_;
};

} // namespace currantpitch::backpressure
