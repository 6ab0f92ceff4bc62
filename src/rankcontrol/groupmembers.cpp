#include "rankcontrol/groupmembers.h"

#include "rankcontrol/rankcontrolconstants.h"

#include <set>

namespace currantpitch::rankcontrol {

void group_members::on_listing(const std::vector<directory::endpoint_record>& records)
{
    endpoints_.clear();
    for (const directory::endpoint_record& r : records) {
        apply(r);
    }
}

void group_members::apply(const directory::endpoint_record& record)
{
    if (record.service == service_) {
        endpoints_[record.endpoint] = record.address.address();
    }
}

void group_members::on_removal(const core::endpoint_id& endpoint)
{
    endpoints_.erase(endpoint);
}

std::vector<boost::asio::ip::tcp::endpoint> group_members::candidates() const
{
    // A host may be listed twice while its engine restarts.
    std::set<boost::asio::ip::address> hosts;
    for (const std::pair<const core::endpoint_id, boost::asio::ip::address>& entry : endpoints_) {
        hosts.insert(entry.second);
    }
    std::vector<boost::asio::ip::tcp::endpoint> list;
    for (const boost::asio::ip::address& host : hosts) {
        if (list.size() == leader_candidates) {
            break;
        }
        list.emplace_back(host, peer_port_);
    }
    return list;
}

} // namespace currantpitch::rankcontrol
