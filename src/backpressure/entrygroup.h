#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <map>
#include <set>

namespace currantpitch::backpressure {

/// The entries that share the limits of endpoints. Each registered entry has an equal part of a
/// limit. Entries that reach each other pool their parts at one of them, which grants the permits
/// of an endpoint, so that entries that are cut off from each other do not exceed the limit
/// together.
class entry_group {
public:
    explicit entry_group(core::host_id self) : self_(std::move(self)) {}

    /// Replaces the set of registered entries.
    void set_registered(const std::set<core::host_id>& hosts, core::time_point now);
    void on_peer_up(const core::host_id& peer);
    void on_peer_down(const core::host_id& peer, core::time_point now);

    /// Entry that grants the permits of the endpoint to all that reach each other.
    core::host_id permit_owner(const core::endpoint_id& endpoint) const;
    /// Fraction of a limit that this entry and those it reaches may use. Parts of entries that are
    /// unreachable for absent_part_lifetime count too if a majority of the entries is reachable.
    double pooled_part(core::time_point now) const;
    /// Fraction of a limit that belongs to one entry.
    double own_part() const;

private:
    std::size_t size() const { return reachable_.size() + 1 + absent_since_.size(); }

    core::host_id self_;
    std::set<core::host_id> reachable_;
    /// Registered entries that are not reachable.
    std::map<core::host_id, core::time_point> absent_since_;
};

} // namespace currantpitch::backpressure
