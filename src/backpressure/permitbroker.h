#pragma once

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
class permit_broker {
public:
    explicit permit_broker(core::host_id self) : self_(self), group_(std::move(self)) {}

    void set_registered(const std::set<core::host_id>& hosts, core::time_point now)
    {
        group_.set_registered(hosts, now);
    }
    void on_peer_up(const core::host_id& peer, core::time_point now);
    void on_peer_down(const core::host_id& peer, core::time_point now);

    /// Requests a permit for this entry. The caller asks the owner if one is returned.
    permit_source request(const core::endpoint_id& endpoint, double per_second,
                          std::chrono::milliseconds max_wait, core::time_point now);
    /// Records an answer of the owner of some permits.
    void on_answer(const core::host_id& owner) { unanswered_since_.erase(owner); }
    /// Answers the request of a peer for a permit of the endpoint, which accepts this many requests
    /// per second.
    permit_offer grant(const core::endpoint_id& endpoint, double per_second,
                       std::chrono::milliseconds max_wait, core::time_point now);

private:
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
};

} // namespace currantpitch::backpressure
