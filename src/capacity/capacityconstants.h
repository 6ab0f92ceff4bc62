#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace currantpitch::capacity {

/// Age above which a sample no longer counts.
inline constexpr std::chrono::milliseconds sample_lifetime{10000};
/// Maximum number of samples kept for one endpoint, and of those that come from one peer.
inline constexpr std::size_t max_samples = 96;
inline constexpr std::size_t max_samples_of_peer = 16;
/// Numbers of newest samples over which the median is taken. The small ones show a large slowdown
/// soon, the large ones a small slowdown. With four samples, outliers gave two false reductions in
/// an hour.
inline constexpr std::array<std::size_t, 4> window_sizes{6, 12, 24, 48};
/// Index of the window whose reference is the normal latency of the service.
inline constexpr std::size_t normal_window = 1;
/// Maximum fraction of a window that may come from one peer, once there are own_samples_to_trust
/// own samples or at least min_independent_sources sources. Below one half, so that a peer with
/// wrong samples cannot move the median beyond the samples of the others.
inline constexpr double max_peer_fraction = 1.0 / 3;
inline constexpr std::size_t own_samples_to_trust = 4;
inline constexpr std::size_t min_independent_sources = 3;

/// Latency as a multiple of the reference that still counts as good.
inline constexpr double tolerated_ratio = 1.4;
/// The same for services whose endpoints advance together.
inline constexpr double tolerated_ratio_of_group = 2.0;
/// Standard deviation of the logarithm of a service time that is allowed for, and number of
/// standard errors by which a median must exceed the tolerated ratio.
inline constexpr double log_deviation = 0.45;
inline constexpr double required_errors = 3;
/// Smallest window for services whose endpoints advance together.
inline constexpr std::size_t min_group_window = 12;
/// Minimum number of endpoints of such a service with a median.
inline constexpr std::size_t min_group_size = 3;
/// Multiple of the reference above which a request that ended without an answer counts as slow.
inline constexpr double unfinished_ratio = 3;
/// Logarithm of the milliseconds that stand for a failed request: one minute.
inline constexpr double failure_log_latency = 11.0;

/// A reduction ends when the upper median of this many newest samples is below this multiple of the
/// reference. A large slowdown is told from normal speed by few samples.
inline constexpr double large_slowdown = 3;
inline constexpr std::size_t recovery_window_of_large = 4;
inline constexpr double recovered_ratio_of_large = 1.6;
inline constexpr std::size_t recovery_window = 12;
inline constexpr double recovered_ratio = 1.4;
/// Fraction of the slots that an endpoint of a group keeps. Its slots cannot be replaced by those
/// of the others, since all advance together.
inline constexpr double min_group_fraction = 0.6;
/// Highest load at which endpoints that work independently are compared with each other.
inline constexpr unsigned low_load = 2;
/// Time after the last evidence of a slowdown at which a limit begins to rise, and the time in
/// which it rises by one request.
inline constexpr std::chrono::milliseconds limit_hold_time{4000};
inline constexpr std::chrono::milliseconds limit_rise_time{2000};
/// Number of samples at high loads that are compared with those at low loads.
inline constexpr std::size_t min_saturation_window = 12;
inline constexpr std::size_t max_saturation_window = 48;
/// Factor by which the throughput must fall. A limit that the entries keep with knowledge of the
/// load that is 100 ms old costs more than a smaller loss.
inline constexpr double throughput_loss = 1.25;
/// Requests above the load at which the latency begins to rise that are still allowed, as a factor.
inline constexpr double saturation_headroom = 1.25;

/// Age of the newest sample at which a slow endpoint gets a probe. Short after a good probe, so
/// that a recovered endpoint is used again soon.
inline constexpr std::chrono::milliseconds probe_interval{2000};
inline constexpr std::chrono::milliseconds probe_interval_after_good{250};
/// Fraction of the requests that are probes while one is due. It bounds the requests that many
/// entries send to a slow endpoint before the first result has reached them all.
inline constexpr double probe_fraction = 0.05;
inline constexpr double probe_fraction_after_good = 0.25;

/// Interval at which the limits are computed from new samples.
inline constexpr std::chrono::milliseconds evaluation_interval{250};
/// Minimum interval between two reports to the peers.
inline constexpr std::chrono::milliseconds report_interval{1000};
/// Maximum number of samples of one endpoint, and of endpoints, in one report.
inline constexpr std::size_t max_reported_samples = 4;
inline constexpr std::size_t max_reported_endpoints = 16;
/// Latencies beyond this are cut off.
inline constexpr std::chrono::milliseconds max_latency{60000};

} // namespace currantpitch::capacity
