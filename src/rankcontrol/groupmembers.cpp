#include "rankcontrol/groupmembers.h"

#include "rankcontrol/rankcontrolconstants.h"

namespace currantpitch::rankcontrol {

void group_members::on_listing(const std::vector<directory::endpoint_record>& records)
{
    endpoints_.clear();
    for (const directory::endpoint_record& r : records) {
        if (r.service == service_) {
            endpoints_[r.endpoint] = r.address.address();
        }
    }
    update();
}

void group_members::apply(const directory::endpoint_record& record)
{
    if (record.service == service_) {
        endpoints_[record.endpoint] = record.address.address();
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

void group_members::update()
{
    // A host may be listed twice while its engine restarts.
    hosts_.clear();
    for (const std::pair<const core::endpoint_id, boost::asio::ip::address>& entry : endpoints_) {
        hosts_.insert(entry.second);
    }
    candidates_.clear();
    if (own_group_.empty()) {
        return;
    }
    for (const boost::asio::ip::address& host : hosts_) {
        if (candidates_.size() == leader_candidates) {
            return;
        }
        const auto registered = groups_.find(host);
        if (registered == groups_.end() || registered->second == own_group_) {
            candidates_.emplace_back(host, peer_port_);
        }
    }
}

} // namespace currantpitch::rankcontrol
