#include "directory/coldtimes.h"

#include <algorithm>

namespace currantpitch::directory {

void cold_times::on_registered(const endpoint_record& record, const core::revision& written_at,
                               core::time_point now)
{
    const auto found = states_.find(record.endpoint);
    const bool same_incarnation =
        found != states_.end() && found->second.time.incarnation == record.incarnation;
    if (same_incarnation && found->second.written_at == written_at) {
        return;
    }
    core::time_point until = now + record.cold_time_left.value_or(unknown_cold_time);
    if (!record.cold_time_left && same_incarnation) {
        until = found->second.time.until;
    }
    states_[record.endpoint] = {{record.service, record.incarnation, until, false}, written_at};
    new_.insert(record.endpoint);
}

void cold_times::on_first_listing(const endpoint_record& record, const core::revision& written_at,
                                  core::time_point now)
{
    on_registered(record, written_at, now);
    cold_time& time = states_.at(record.endpoint).time;
    time.assumed = time.until <= now;
    time.until = std::max(time.until, now + renewal_time);
}

void cold_times::retain(const std::map<core::endpoint_id, endpoint_record>& registered)
{
    const auto gone = [&registered](const core::endpoint_id& endpoint) {
        return !registered.contains(endpoint);
    };
    std::erase_if(new_, gone);
    std::erase_if(states_, [&gone](const std::pair<const core::endpoint_id, state>& entry) {
        return gone(entry.first);
    });
}

} // namespace currantpitch::directory
