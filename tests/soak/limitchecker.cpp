#include "soak/limitchecker.h"

#include <algorithm>

namespace currantpitch::soak {

void limit_checker::on_limit(const core::endpoint_id& endpoint, double per_second,
                             core::time_point at)
{
    limits_[endpoint] = {per_second, at, {}, {}, false};
}

void limit_checker::on_limit_end(const core::endpoint_id& endpoint)
{
    limits_.erase(endpoint);
}

void limit_checker::on_answer(std::size_t gateway, const core::endpoint_id& endpoint,
                              core::time_point arrived_at, core::time_point at)
{
    const auto found = limits_.find(endpoint);
    if (found != limits_.end() && arrived_at >= found->second.named_at) {
        found->second.told_at.try_emplace(gateway, at);
    }
}

void limit_checker::on_gateway_start(std::size_t gateway)
{
    for (std::pair<const core::endpoint_id, limit>& entry : limits_) {
        entry.second.told_at.erase(gateway);
    }
}

std::string limit_checker::on_arrival(std::size_t gateway, const core::endpoint_id& endpoint,
                                      core::time_point at)
{
    const auto found = limits_.find(endpoint);
    if (found == limits_.end()) {
        return {};
    }
    limit& l = found->second;
    const auto told = l.told_at.find(gateway);
    const bool counts =
        at >= l.named_at + notice_time && told != l.told_at.end() && at >= told->second + told_time;
    if (!counts) {
        return {};
    }
    l.arrivals.push_back(at);
    const auto recent = std::count_if(l.arrivals.begin(), l.arrivals.end(),
                                      [at](core::time_point t) { return t > at - window; });
    const double allowed =
        factor * l.per_second * std::chrono::duration<double>(window).count() + slack;
    if (l.exceeded || static_cast<double>(recent) <= allowed) {
        return {};
    }
    l.exceeded = true;
    return "requests=" + std::to_string(recent) + " per_second=" + std::to_string(l.per_second);
}

} // namespace currantpitch::soak
