#include "overload/returnschedule.h"

#include "overload/overloadconstants.h"

#include <algorithm>

namespace currantpitch::overload {

std::chrono::milliseconds return_schedule::delay(int priority, double waiting,
                                                 double starts_per_second, core::time_point now)
{
    const std::chrono::duration<double> interval(
        std::min(1 / std::max(starts_per_second, 1e-3),
                 std::chrono::duration<double>(max_return_delay).count()));
    core::time_point at = now + std::chrono::duration_cast<core::duration>(interval * waiting);
    for (const std::pair<const int, core::time_point>& entry : latest_) {
        if (entry.first <= priority) {
            at = std::max(at, entry.second);
        }
    }
    at += std::chrono::duration_cast<core::duration>(interval);
    if (at - now > max_return_delay) {
        latest_[priority] = now + max_return_delay;
        std::uniform_int_distribution<std::int64_t> spread(max_return_delay.count() / 2,
                                                           max_return_delay.count());
        return std::chrono::milliseconds(spread(random_));
    }
    latest_[priority] = at;
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(at - now), min_return_delay);
}

} // namespace currantpitch::overload
