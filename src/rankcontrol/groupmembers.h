#pragma once

#include "core/identifiers.h"
#include "directory/endpointdirectory.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <vector>

namespace currantpitch::rankcontrol {

/// The agents of one service, ordered by the address of their host. This is also the order of their
/// candidacy for the leadership.
class group_members {
public:
    group_members(core::service_id service, std::uint16_t peer_port)
        : service_(std::move(service)), peer_port_(peer_port)
    {
    }

    void on_listing(const std::vector<directory::endpoint_record>& records);
    void apply(const directory::endpoint_record& record);
    void on_removal(const core::endpoint_id& endpoint);

    /// Addresses of the agents that may lead, in order of preference.
    std::vector<boost::asio::ip::tcp::endpoint> candidates() const;
    std::size_t size() const { return endpoints_.size(); }

private:
    core::service_id service_;
    std::uint16_t peer_port_;
    std::map<core::endpoint_id, boost::asio::ip::address> endpoints_;
};

} // namespace currantpitch::rankcontrol
