#pragma once

#include "backpressure/backpressureconstants.h"
#include "backpressure/backpressuremessages.h"
#include "core/runtimeclock.h"

#include <map>

namespace currantpitch::backpressure {

/// Issues the permits of endpoints that limit their requests. Permits start at even intervals; a
/// few of them, the burst, may start together after a pause.
class permit_issuer {
public:
    /// Grants the next permit if it starts within max_wait. Otherwise tells when to ask again;
    /// entries that are told so one after another get successive times. Permits become available
    /// from the time issuing_since on, as another process may have issued the earlier ones.
    permit_offer issue(const core::endpoint_id& endpoint, double per_second,
                       std::chrono::milliseconds max_wait, core::time_point issuing_since,
                       core::time_point now, int burst = max_permit_burst);
    /// Earliest start of the next permit, without a burst.
    core::time_point next_start(const core::endpoint_id& endpoint, core::time_point now) const;

private:
    struct schedule {
        /// Start of the next permit. Lies in the past while permits are available at once.
        core::time_point next_start;
        core::duration interval{};
        /// Requests that got no permit since the last one was granted.
        unsigned refused = 0;
    };

    std::map<core::endpoint_id, schedule> schedules_;
};

} // namespace currantpitch::backpressure
