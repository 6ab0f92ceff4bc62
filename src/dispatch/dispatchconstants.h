#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::dispatch {

/// Interval at which a changed load is reported to the peers while there are few of them.
inline constexpr std::chrono::milliseconds min_load_report_interval{100};
/// Number of load reports that one entry receives in a second from all its peers. Each costs a read
/// and a wake-up, so that more of them would take most of the processor time of a small host.
inline constexpr std::size_t max_load_reports_per_second = 320;
/// Minimum interval at which an unchanged load is reported.
inline constexpr std::chrono::milliseconds min_refresh_interval{500};
/// Age above which a peer's load report counts as zero, while there are few peers: a peer that has
/// missed ten reports has most likely stopped. With many peers, the number of reports missed.
inline constexpr std::chrono::milliseconds min_load_report_lifetime{1000};
inline constexpr int reports_missed_before_expiry = 3;
/// Number of endpoints that are sampled at random for a request: this many in the entry's own
/// failure domain, and as many among all remaining ones. Two choices keep loads nearly even. With
/// more, entries concentrate on few endpoints until the next load reports arrive.
inline constexpr std::size_t endpoint_sample_size = 1;
/// Fraction of all slots in use at or above which an entry is limited to its fair share of them.
inline constexpr double busy_fraction = 0.8;
/// Time for which an endpoint that refused work for lack of capacity is ejected. About the time in
/// which one of its slots becomes free.
inline constexpr std::chrono::milliseconds refusal_ejection_time{100};
/// Ejection time after the first failure of an endpoint. Doubled by each further one in a row, up
/// to the maximum.
inline constexpr std::chrono::milliseconds initial_failure_ejection_time{500};
inline constexpr std::chrono::milliseconds max_failure_ejection_time{4000};
/// Maximum fraction of a service's endpoints that may be ejected at the same time. Above it,
/// ejections are ignored.
inline constexpr double max_ejected_fraction = 0.5;
/// Weight of the newest service time in an endpoint's exponential moving average.
inline constexpr double latency_weight = 0.2;
/// Half-life of an endpoint's measured latency, so that an endpoint that was slow gets requests
/// again.
inline constexpr std::chrono::milliseconds latency_half_life{3000};
/// Minimum fraction of an engine's slots that stay in use, however slow its streams are.
inline constexpr double min_slot_fraction = 0.6;
/// Fraction of the target gap between events that the controller aims for. The rest is headroom
/// for jitter.
inline constexpr double gap_target_fraction = 0.85;
/// Interval at which the controller adjusts the limit.
inline constexpr std::chrono::milliseconds limit_adjustment_interval{500};
/// Minimum number of gaps observed in an interval for adjusting the limit.
inline constexpr std::size_t min_gap_samples = 8;
/// Highest number of a priority, the least urgent one, that reports name.
inline constexpr unsigned max_priority = 1000;
/// Steps in which reports state the number of slots that requests are expected to use, so that a
/// report that says nothing new is not sent again.
inline constexpr double expected_slots_step = 0.25;
/// Time after its last report, in lifetimes of a report, from which a gateway no longer has a share
/// of the slots. One late report changes no shares.
inline constexpr int lifetimes_before_leaving = 2;
/// Maximum number of requests that wait at one entry for one service. Further ones are refused
/// immediately.
inline constexpr std::size_t max_waiting = 256;

} // namespace currantpitch::dispatch
