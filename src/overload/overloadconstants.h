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

/// Time without an event of any stream after which a service whose endpoints refuse requests is
/// down. Engines send an event in each step, which takes up to 85 ms under load.
inline constexpr std::chrono::milliseconds max_progress_pause{150};
/// Interval at which one request of a gateway probes a service that is down.
inline constexpr std::chrono::milliseconds probe_interval{250};
/// Expected duration of the first outage, and the bounds of the durations that are taken into
/// account. A group of engines re-forms in 1.5 to 4 s.
inline constexpr std::chrono::milliseconds initial_outage{2500};
inline constexpr std::chrono::milliseconds min_outage{500};
inline constexpr std::chrono::milliseconds max_outage{4000};
/// Time within which the callers that were refused during an outage return.
inline constexpr std::chrono::milliseconds return_spread{500};
/// Callers abandon a stream before its first event after this time or this many times the target
/// latency, whichever is longer.
inline constexpr std::chrono::milliseconds min_patience{2000};
inline constexpr int patience_in_targets = 4;
/// Time that remains for the first event after a wait.
inline constexpr std::chrono::milliseconds patience_margin{250};

/// Bounds on the retry delay of a refused caller.
inline constexpr std::chrono::milliseconds min_return_delay{200};
inline constexpr std::chrono::milliseconds max_return_delay{2000};

} // namespace currantpitch::overload
