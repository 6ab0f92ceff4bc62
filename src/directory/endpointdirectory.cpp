#include "directory/endpointdirectory.h"

#include <algorithm>

namespace currantpitch::directory {

bool endpoint_directory::in_reregistration_period(core::time_point now) const
{
    return store_recovered_at_ && now - *store_recovered_at_ < reregistration_period;
}

void endpoint_directory::on_store_recovered(core::time_point now)
{
    store_recovered_at_ = now;
    known_at_recovery_ = records_.size();
    removed_since_recovery_.clear();
    for (const std::pair<const core::endpoint_id, core::time_point>& missing : missing_) {
        removed_since_recovery_.insert(missing.first);
    }
}

void endpoint_directory::on_store_restored(core::time_point now)
{
    on_store_recovered(now);
    store_restored_at_ = now;
}

bool endpoint_directory::readmit(core::time_point now)
{
    if (unconfirmed_.empty() || now - *store_restored_at_ < stale_registration_lifetime) {
        return false;
    }
    unconfirmed_.clear();
    return true;
}

bool endpoint_directory::registrations_lapsed(core::time_point now) const
{
    const bool restored = store_restored_at_ && now - *store_restored_at_ < reregistration_period;
    return restored || static_cast<double>(removed_since_recovery_.size()) >=
                           min_lapsed_share * static_cast<double>(known_at_recovery_);
}

void endpoint_directory::on_listing(const std::vector<endpoint_record>& listing,
                                    core::time_point now)
{
    std::set<core::endpoint_id> listed;
    for (const endpoint_record& record : listing) {
        listed.insert(record.endpoint);
        apply(record);
    }
    std::vector<core::endpoint_id> absent;
    for (const std::pair<const core::endpoint_id, endpoint_record>& entry : records_) {
        if (!listed.contains(entry.first)) {
            absent.push_back(entry.first);
        }
    }
    for (const core::endpoint_id& endpoint : absent) {
        on_removal(endpoint, now);
    }
}

void endpoint_directory::apply(const endpoint_record& record)
{
    missing_.erase(record.endpoint);
    removed_since_recovery_.erase(record.endpoint);
    endpoint_record& known = records_[record.endpoint];
    const bool known_incarnation = record.incarnation.value != 0;
    const bool was_draining = known.draining && known.incarnation == record.incarnation;
    known = record;
    known.draining = record.draining || (known_incarnation && was_draining);
    const auto departed = departures_.find(record.endpoint);
    if (departed == departures_.end()) {
        return;
    }
    if (known_incarnation && departed->second.incarnation == record.incarnation) {
        known.draining = known.draining || departed->second.draining;
        if (!known.draining && store_restored_at_ && departed->second.at < *store_restored_at_) {
            unconfirmed_.insert(record.endpoint);
        }
    }
    departures_.erase(departed);
}

void endpoint_directory::remove(const core::endpoint_id& endpoint, core::time_point now)
{
    const endpoint_record* const known = find(endpoint);
    if (known != nullptr) {
        departures_[endpoint] = {known->incarnation, known->draining, now};
    }
    records_.erase(endpoint);
    unconfirmed_.erase(endpoint);
}

void endpoint_directory::on_removal(const core::endpoint_id& endpoint, core::time_point now)
{
    // A draining endpoint is not expected to register again.
    const endpoint_record* const known = find(endpoint);
    if (known != nullptr && !known->draining && in_reregistration_period(now)) {
        missing_.try_emplace(endpoint, *store_recovered_at_ + reregistration_period);
        removed_since_recovery_.insert(endpoint);
        return;
    }
    missing_.erase(endpoint);
    remove(endpoint, now);
}

std::vector<core::endpoint_id> endpoint_directory::expire(core::time_point now)
{
    std::vector<core::endpoint_id> dropped;
    std::erase_if(departures_, [now](const std::pair<const core::endpoint_id, departure>& entry) {
        return now - entry.second.at > departure_memory;
    });
    const bool lapsed = registrations_lapsed(now);
    for (auto it = missing_.begin(); it != missing_.end();) {
        if (lapsed && now < it->second) {
            ++it;
            continue;
        }
        remove(it->first, now);
        dropped.push_back(it->first);
        it = missing_.erase(it);
    }
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
    return record != nullptr && !record->draining && !unconfirmed_.contains(endpoint) &&
           !evacuations_awaited_ && !evacuated_.contains(record->failure_domain) &&
           !superseded(*record);
}

bool endpoint_directory::superseded(const endpoint_record& record) const
{
    // A failed endpoint stays registered until its missing heartbeats are detected. Its successor
    // often starts at the same address under another name before that.
    return std::any_of(records_.begin(), records_.end(),
                       [&record](const std::pair<const core::endpoint_id, endpoint_record>& e) {
                           return e.second.address == record.address &&
                                  e.second.incarnation > record.incarnation;
                       });
}

} // namespace currantpitch::directory
