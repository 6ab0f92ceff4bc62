#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"
#include "intents/specs.h"
#include "objectstore/storeclient.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace currantpitch::gateway {

/// The registered entries and the last readiness reports of the connected ones.
class entry_roster {
public:
    explicit entry_roster(core::host_id self) : self_(std::move(self)) {}

    /// Replaces all entries by those of a complete listing. After a restore of the store, which
    /// begins a new era, other entries that the listing lacks are kept for the
    /// host_reregistration_period.
    void on_listing(const std::vector<objectstore::object>& hosts, core::store_era era = {},
                    core::time_point now = {});
    /// Era of the latest listing.
    core::store_era era() const { return era_; }
    /// Applies a change or deletion of one host.
    void on_change(const objectstore::object& host);
    /// Records the readiness that a peer reported.
    void on_report(const core::host_id& peer, bool ready, core::time_point now);
    /// Drops the report of a peer whose connection was lost.
    void on_peer_down(const core::host_id& peer);

    /// Peer addresses of the entries that this process connects to. Of two entries, the one with
    /// the smaller host name connects.
    std::map<core::host_id, boost::asio::ip::tcp::endpoint> dial_targets() const;
    /// Addresses of at most max_addresses entries that are ready to serve callers. Those in the
    /// caller's failure domain come first. Empty when no entry is ready.
    std::vector<std::string> addresses(const core::failure_domain_id& caller_failure_domain,
                                       bool self_ready, core::time_point now) const;
    /// Registered entries, including this one and entries that are not running.
    std::set<core::host_id> registered() const;
    /// Number of registered entries, including this one and entries that are not running.
    std::size_t registered_count() const { return entries_.size(); }
    /// Registration of this entry, or null when there is none.
    const intents::host_spec* own_spec() const;

private:
    struct peer_report {
        bool ready = false;
        core::time_point at;
    };

    core::host_id self_;
    std::map<core::host_id, intents::host_spec> entries_;
    std::map<core::host_id, peer_report> reports_;
    core::store_era era_{};
    /// Entries that a restored store lacks, and the time until which they are kept.
    std::map<core::host_id, core::time_point> kept_until_;
};

} // namespace currantpitch::gateway
