#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

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

    /// Whether this entry is one of that many registered entries that have a part of their own in
    /// what the endpoint accepts. They are the same ones at all entries that know the same
    /// registered entries, whomever they reach.
    bool holds_part(const core::endpoint_id& endpoint, std::size_t parts) const;
    /// Whether the registered entries are known: they have been listed with this entry, which was
    /// listed at its start already, or the list has not grown for roster_settling_time.
    bool settled(core::time_point now) const { return settled_at_ && now >= *settled_at_; }
    /// Whether more than half of the registered entries are reachable.
    bool majority() const { return (reachable_.size() + 1) * 2 > size(); }
    /// Whether all registered entries are reachable.
    bool complete() const { return absent_since_.empty(); }

private:
    void update_settled(const std::set<core::host_id>& hosts, core::time_point now);
    std::size_t size() const { return reachable_.size() + 1 + absent_since_.size(); }

    core::host_id self_;
    std::set<core::host_id> reachable_;
    /// Registered entries that are not reachable.
    std::map<core::host_id, core::time_point> absent_since_;
    std::optional<core::time_point> settled_at_;
    bool listed_ = false;
    std::size_t listed_count_ = 0;
    /// Number of entries that precede this one in the order of an endpoint's parts.
    mutable std::unordered_map<core::endpoint_id, std::size_t> preceding_;
};

} // namespace currantpitch::backpressure
