#include "backpressure/permitissuer.h"

#include <algorithm>

namespace currantpitch::backpressure {

permit_offer permit_issuer::issue(const core::endpoint_id& endpoint, double per_second,
                                  std::chrono::milliseconds max_wait,
                                  core::time_point issuing_since, core::time_point now, int burst)
{
    // A schedule that is as far behind as the longest burst is the same as a new one.
    std::erase_if(schedules_, [now](const std::pair<const core::endpoint_id, schedule>& entry) {
        const schedule& s = entry.second;
        return s.next_start + (max_permit_burst - 1) * s.interval <= now;
    });
    const core::duration interval =
        std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(1 / per_second));
    const core::time_point burst_start = now - (burst - 1) * interval;
    schedule& s =
        schedules_.try_emplace(endpoint, schedule{burst_start, interval, 0}).first->second;
    s.interval = interval;
    s.next_start = std::max({s.next_start, burst_start, issuing_since + interval});
    const core::duration wait = std::max(s.next_start - now, core::duration::zero());
    const core::duration lead = std::min(max_wait, max_permit_lead);
    permit_offer offer;
    offer.endpoint = endpoint;
    offer.granted = wait <= lead;
    if (offer.granted) {
        offer.starts_in = std::chrono::ceil<std::chrono::milliseconds>(wait);
        s.next_start += interval;
        s.refused = 0;
        return offer;
    }
    const core::duration until_next = wait - lead + s.refused * interval;
    ++s.refused;
    offer.starts_in =
        std::min(std::chrono::ceil<std::chrono::milliseconds>(until_next), max_permit_retry);
    return offer;
}

core::time_point permit_issuer::next_start(const core::endpoint_id& endpoint,
                                           core::time_point now) const
{
    const auto found = schedules_.find(endpoint);
    return found == schedules_.end() ? now : std::max(found->second.next_start, now);
}

} // namespace currantpitch::backpressure
