#include "soak/signalchecker.h"

#include <algorithm>

namespace currantpitch::soak {

void signal_checker::on_limit(const core::endpoint_id& endpoint, double per_second,
                              core::time_point at)
{
    limits_[endpoint] = {per_second, at, {}, {}, false};
}

void signal_checker::on_limit_end(const core::endpoint_id& endpoint)
{
    limits_.erase(endpoint);
}

void signal_checker::on_leaving(const core::endpoint_id& endpoint, core::time_point at)
{
    departures_[endpoint] = {at, {}};
}

void signal_checker::on_quiet(std::size_t gateway, const core::endpoint_id& endpoint,
                              core::duration quiet_time, core::time_point at)
{
    quiet_period& period = quiet_periods_[{gateway, endpoint}];
    if (at >= period.until) {
        period = {at + quiet_notice_time, at + quiet_time, 0};
    }
}

void signal_checker::on_answer(std::size_t gateway, const core::endpoint_id& endpoint,
                               core::time_point arrived_at, core::time_point at)
{
    const auto found = limits_.find(endpoint);
    if (found != limits_.end() && arrived_at >= found->second.named_at) {
        found->second.told_at.try_emplace(gateway, at);
    }
    const auto departure = departures_.find(endpoint);
    if (departure != departures_.end() && arrived_at >= departure->second.said_at) {
        departure->second.told_at.try_emplace(gateway, at);
    }
}

void signal_checker::on_gateway_start(std::size_t gateway)
{
    for (std::pair<const core::endpoint_id, limit>& entry : limits_) {
        entry.second.told_at.erase(gateway);
    }
    for (std::pair<const core::endpoint_id, departure>& entry : departures_) {
        entry.second.told_at.erase(gateway);
    }
    std::erase_if(quiet_periods_,
                  [gateway](const auto& entry) { return entry.first.first == gateway; });
}

std::string signal_checker::on_arrival(std::size_t gateway, const core::endpoint_id& endpoint,
                                       core::time_point sent_at, core::time_point at)
{
    const auto departure = departures_.find(endpoint);
    if (departure != departures_.end()) {
        const auto told = departure->second.told_at.find(gateway);
        if (told != departure->second.told_at.end() && sent_at > told->second + drain_time) {
            return "after it has said that it leaves";
        }
    }
    const std::string quiet = check_quiet(gateway, endpoint, at);
    return quiet.empty() ? check_limit(gateway, endpoint, at) : quiet;
}

std::string signal_checker::check_quiet(std::size_t gateway, const core::endpoint_id& endpoint,
                                        core::time_point at)
{
    const auto found = quiet_periods_.find({gateway, endpoint});
    if (found == quiet_periods_.end() || at < found->second.from || at >= found->second.until) {
        return {};
    }
    return ++found->second.requests == max_quiet_requests + 1 ? "while it wants no requests" : "";
}

std::string signal_checker::check_limit(std::size_t gateway, const core::endpoint_id& endpoint,
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
