#include "directory/endpointdirectory.h"

#include <algorithm>

namespace currantpitch::directory {

bool endpoint_directory::returning(core::time_point now) const
{
    return store_back_ && now - *store_back_ < reregistration_time;
}

void endpoint_directory::on_store_recovered(core::time_point now)
{
    store_back_ = now;
}

void endpoint_directory::on_listing(const std::vector<endpoint_record>& present,
                                    core::time_point now)
{
    std::set<core::endpoint_id> named;
    for (const endpoint_record& record : present) {
        named.insert(record.endpoint);
        take(record);
    }
    std::vector<core::endpoint_id> absent;
    for (const std::pair<const core::endpoint_id, endpoint_record>& entry : records_) {
        if (!named.contains(entry.first)) {
            absent.push_back(entry.first);
        }
    }
    for (const core::endpoint_id& endpoint : absent) {
        on_removal(endpoint, now);
    }
}

void endpoint_directory::take(const endpoint_record& record)
{
    missing_.erase(record.endpoint);
    records_[record.endpoint] = record;
}

void endpoint_directory::on_removal(const core::endpoint_id& endpoint, core::time_point now)
{
    // One that was draining is not expected back.
    const endpoint_record* const known = find(endpoint);
    if (known != nullptr && !known->draining && returning(now)) {
        missing_.insert(endpoint);
        return;
    }
    missing_.erase(endpoint);
    records_.erase(endpoint);
}

std::vector<core::endpoint_id> endpoint_directory::expire(core::time_point now)
{
    std::vector<core::endpoint_id> dropped;
    if (missing_.empty() || returning(now)) {
        return dropped;
    }
    for (const core::endpoint_id& endpoint : missing_) {
        records_.erase(endpoint);
        dropped.push_back(endpoint);
    }
    missing_.clear();
    return dropped;
}

const endpoint_record* endpoint_directory::find(const core::endpoint_id& endpoint) const
{
    const auto found = records_.find(endpoint);
    return found == records_.end() ? nullptr : &found->second;
}

bool endpoint_directory::usable(const core::endpoint_id& endpoint) const
{
    const endpoint_record* const record = find(endpoint);
    return record != nullptr && !record->draining && !superseded(*record);
}

bool endpoint_directory::superseded(const endpoint_record& record) const
{
    // An endpoint that died keeps its entry until its heartbeats are missed; its successor often
    // starts at the same address under another name.
    return std::any_of(records_.begin(), records_.end(),
                       [&record](const std::pair<const core::endpoint_id, endpoint_record>& e) {
                           return e.second.address == record.address &&
                                  e.second.incarnation > record.incarnation;
                       });
}

} // namespace currantpitch::directory
