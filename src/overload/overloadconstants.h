#pragma once

#include <chrono>

namespace currantpitch::overload {

/// Time constant of the measured arrival rate.
inline constexpr std::chrono::milliseconds rate_time_constant{500};
/// Time constant with which the expected demand of a priority declines after it has risen.
inline constexpr std::chrono::milliseconds demand_decline_time{1000};
/// Weight of the newest service time in a priority's exponential moving average.
inline constexpr double service_time_weight = 0.1;
/// Margin for random arrivals, in standard deviations of the number of running requests. With 2,
/// the least urgent requests were refused while slots sufficed for all.
inline constexpr double arrival_margin = 1.0;
/// Fraction of the slots that gateways use as they need them. The rest is left to the equal parts
/// of the gateways: their reports are a report interval old, so all of them see the same free
/// slots.
inline constexpr double shared_fraction = 0.9;
/// Fraction of the slots that each priority with demand keeps at least.
inline constexpr double min_priority_part = 0.1;
/// Standard deviations by which the number of released slots may exceed the expected one before a
/// request is refused without waiting.
inline constexpr double release_margin = 2.0;

} // namespace currantpitch::overload
