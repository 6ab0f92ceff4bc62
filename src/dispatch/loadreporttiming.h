#pragma once

#include "dispatch/dispatchconstants.h"

#include <algorithm>

namespace currantpitch::dispatch {

/// Times of the load reports between the entries. Each entry sends its reports to all others, so
/// their number grows with the square of the entries unless each sends fewer of them.
struct load_report_timing {
    /// Interval at which an entry reports a changed load.
    std::chrono::milliseconds interval;
    /// Interval at which it reports an unchanged one.
    std::chrono::milliseconds refresh_interval;
    /// Age above which a report no longer counts.
    std::chrono::milliseconds lifetime;
};

constexpr load_report_timing timing_for(std::size_t processes)
{
    const std::chrono::milliseconds interval =
        std::max(min_load_report_interval,
                 std::chrono::milliseconds(processes * 1000 / max_load_reports_per_second));
    return {interval, std::max(interval, min_refresh_interval),
            std::max(min_load_report_lifetime, interval * reports_missed_before_expiry)};
}

} // namespace currantpitch::dispatch
