// The part of the site that lets endpoints come back cold.
#include "soak/soaksite.h"

#include "core/timer.h"

namespace currantpitch::soak {

namespace {

/// Interval at which a cold endpoint reports the remaining time.
constexpr std::chrono::milliseconds cold_report_interval{1200};
/// Interval at which some endpoints restart together, and their number.
constexpr std::chrono::milliseconds cold_restart_interval{5000};
constexpr std::size_t cold_restarts = 3;

} // namespace

core::task<void> soak_site::stay_cold(endpoint& e)
{
    const std::uint64_t incarnation = e.incarnation;
    const std::string name = e.server->options().endpoint.str();
    while (core::runtime_clock::now() < e.cold_until) {
        co_await core::sleep_for(cold_report_interval);
        const auto registered = registrations_.find(name);
        if (e.incarnation != incarnation || registered == registrations_.end()) {
            co_return;
        }
        if (registered->second.at("phase").as_string() == "ready") {
            register_endpoint(e, false);
        }
    }
}

core::task<void> soak_site::restart_endpoints()
{
    while (!environment_.stopping) {
        co_await core::sleep_for(cold_restart_interval);
        for (std::size_t i = 0; i < cold_restarts; ++i) {
            endpoint& e = plain_endpoints_[random_() % plain_endpoints_.size()];
            if (!e.crashed && registrations_.contains(e.server->options().endpoint.str())) {
                restart_endpoint(e);
            }
        }
    }
}

} // namespace currantpitch::soak
