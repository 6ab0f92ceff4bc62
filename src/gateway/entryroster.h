#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"
#include "intents/specs.h"
#include "objectstore/storeclient.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace currantpitch::gateway {

/// The entries that have registered, and what those that are connected last said of themselves.
class entry_roster {
public:
    explicit entry_roster(core::host_id self) : self_(std::move(self)) {}

    void on_listing(const std::vector<objectstore::object>& hosts);
    void take(const objectstore::object& host);
    void on_report(const core::host_id& peer, bool ready, core::time_point now);
    void on_down(const core::host_id& peer);

    /// Entries that this process connects to: one of each pair connects to the other.
    std::map<core::host_id, boost::asio::ip::tcp::endpoint> to_dial() const;
    /// Addresses of the entries that callers may use, those of the caller's failure domain first.
    /// Names this entry when it knows of no other.
    std::vector<std::string> addresses(const core::failure_domain_id& near, bool self_ready,
                                       core::time_point now) const;
    /// Registered entries with this one, whether they live or not.
    std::size_t registered() const { return entries_.size(); }
    const intents::host_spec* own() const;

private:
    struct peer_report {
        bool ready = false;
        core::time_point at;
    };

    core::host_id self_;
    std::map<core::host_id, intents::host_spec> entries_;
    std::map<core::host_id, peer_report> reports_;
};

} // namespace currantpitch::gateway
