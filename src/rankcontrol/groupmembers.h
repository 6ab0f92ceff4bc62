#pragma once

#include "core/identifiers.h"
#include "directory/endpointdirectory.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <set>
#include <vector>

namespace currantpitch::rankcontrol {

/// The agents of one service and the groups that they have registered, ordered by the address of
/// their host. This is also the order of their candidacy for the leadership of their group. An
/// agent that has not registered a group may belong to any of them.
class group_members {
public:
    group_members(core::service_id service, std::uint16_t peer_port)
        : service_(std::move(service)), peer_port_(peer_port)
    {
    }

    /// Replaces the endpoints of the service by those of a complete listing.
    void on_listing(const std::vector<directory::endpoint_record>& records);
    void apply(const directory::endpoint_record& record);
    void on_removal(const core::endpoint_id& endpoint);
    /// Replaces the registered groups, by the address of the host.
    void set_registered_groups(std::map<boost::asio::ip::address, core::group_id> groups);
    /// Sets the group that this agent belongs to. Empty while it is unknown.
    void set_own_group(core::group_id group);

    /// Addresses of the agents that may lead the own group, in order of preference.
    const std::vector<boost::asio::ip::tcp::endpoint>& candidates() const { return candidates_; }
    /// Addresses of the engines that may belong to the own group.
    std::vector<boost::asio::ip::tcp::endpoint> engines() const;
    /// Number of hosts with an endpoint of the service.
    std::size_t host_count() const { return hosts_.size(); }

private:
    void update();
    /// Whether the host is registered in the own group or in none.
    bool may_be_member(const boost::asio::ip::address& host) const;

    core::service_id service_;
    std::uint16_t peer_port_;
    std::map<core::endpoint_id, boost::asio::ip::tcp::endpoint> endpoints_;
    std::map<boost::asio::ip::address, core::group_id> groups_;
    core::group_id own_group_;
    std::set<boost::asio::ip::address> hosts_;
    std::vector<boost::asio::ip::tcp::endpoint> candidates_;
};

} // namespace currantpitch::rankcontrol
