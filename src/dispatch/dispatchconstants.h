#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::dispatch {

/// Age above which a peer's load report counts as zero: peers report every 100 ms, and one that is
/// silent for ten reports has most likely stopped.
inline constexpr std::chrono::milliseconds load_report_lifetime{1000};
/// Endpoints of the own failure domain, and of all, that are drawn by lot for a request. Two
/// choices keep loads nearly even; more crowd on few endpoints while reports are under way.
inline constexpr std::size_t drawn_endpoints = 1;
/// Part of all slots in use beyond which an entry keeps to its part of them.
inline constexpr double busy_share = 0.8;
/// Time for which an endpoint that refused work for want of room is passed over: about the time
/// in which one of its slots becomes free.
inline constexpr std::chrono::milliseconds refusal_pause{100};
/// First time for which an endpoint that broke is passed over, doubled by each further failure.
inline constexpr std::chrono::milliseconds first_failure_pause{500};
inline constexpr std::chrono::milliseconds longest_failure_pause{4000};
/// Most endpoints that are passed over at the same time, as a part of all of the service.
inline constexpr double most_passed_over = 0.5;
/// Weight of the newest service time in an endpoint's running mean.
inline constexpr double latency_weight = 0.2;
/// Time in which half of what is known of an endpoint's speed is forgotten, so that one that was
/// slow is tried again.
inline constexpr std::chrono::milliseconds latency_half_life{3000};
/// Least part of an engine's slots that are used however long its events take.
inline constexpr double least_slot_share = 0.6;
/// Part of the longest on-time pause that the controller steers to, which leaves room for jitter.
inline constexpr double gap_target_share = 0.85;
/// Interval at which the controller moves the limit.
inline constexpr std::chrono::milliseconds pace_interval{500};
/// Fewest observed pauses in an interval that move the limit.
inline constexpr std::size_t fewest_pace_samples = 8;
/// Requests that wait at one entry for one service; more are refused at once.
inline constexpr std::size_t max_waiting = 256;

} // namespace currantpitch::dispatch
