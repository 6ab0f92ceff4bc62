#include "rankcontrol/groupmembers.h"

#include "rankcontrol/rankcontrolconstants.h"

namespace currantpitch::rankcontrol {

void group_members::on_listing(const std::vector<directory::endpoint_record>& records)
{
    endpoints_.clear();
    for (const directory::endpoint_record& r : records) {
        if (r.service == service_) {
            endpoints_[r.endpoint] = r.address;
        }
    }
    update();
}

void group_members::apply(const directory::endpoint_record& record)
{
    if (record.service == service_) {
        endpoints_[record.endpoint] = record.address;
        update();
    }
}

void group_members::on_removal(const core::endpoint_id& endpoint)
{
    endpoints_.erase(endpoint);
    update();
}

void group_members::set_registered_groups(std::map<boost::asio::ip::address, core::group_id> groups)
{
    groups_ = std::move(groups);
    update();
}

void group_members::set_own_group(core::group_id group)
{
    own_group_ = std::move(group);
    update();
}

bool group_members::may_be_member(const boost::asio::ip::address& host) const
{
    const auto registered = groups_.find(host);
    return registered == groups_.end() || registered->second == own_group_;
}

std::vector<boost::asio::ip::tcp::endpoint> group_members::engines() const
{
    std::vector<boost::asio::ip::tcp::endpoint> addresses;
    for (const auto& [endpoint, address] : endpoints_) {
        if (may_be_member(address.address())) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

void group_members::update()
{
    // A host may be listed twice while its engine restarts.
    hosts_.clear();
    for (const auto& [endpoint, address] : endpoints_) {
        hosts_.insert(address.address());
    }
    candidates_.clear();
    if (own_group_.empty()) {
        return;
    }
    for (const boost::asio::ip::address& host : hosts_) {
        if (candidates_.size() == leader_candidates) {
            return;
        }
        if (may_be_member(host)) {
            candidates_.emplace_back(host, peer_port_);
        }
    }
}

} // namespace currantpitch::rankcontrol
