#include "soak/coldchecker.h"

#include <algorithm>

namespace currantpitch::soak {

void cold_checker::on_cold(const core::endpoint_id& endpoint, double allowed, core::time_point from,
                           core::time_point until)
{
    cold_times_[endpoint] = {allowed, from, until, {}, false};
}

std::string cold_checker::on_arrival(const core::endpoint_id& endpoint, core::time_point at)
{
    const auto found = cold_times_.find(endpoint);
    if (found == cold_times_.end() || at < found->second.from || at >= found->second.until) {
        return {};
    }
    cold_time& cold = found->second;
    ++requests_;
    while (!cold.arrivals.empty() && at - cold.arrivals.front() >= std::chrono::seconds(1)) {
        cold.arrivals.pop_front();
    }
    cold.arrivals.push_back(at);
    most_ = std::max(most_, cold.arrivals.size());
    if (cold.exceeded || static_cast<double>(cold.arrivals.size()) <= cold.allowed) {
        return {};
    }
    cold.exceeded = true;
    return "requests=" + std::to_string(cold.arrivals.size()) +
           " allowed=" + std::to_string(cold.allowed);
}

} // namespace currantpitch::soak
