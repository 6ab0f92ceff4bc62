#pragma once

#include "objectstore/kindpoll.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace currantpitch::gateway {

/// Timing of the configuration feed. The configuration is confirmed as current only when a watch
/// call returns, so the wait time of a call bounds the age of the API keys. With a short revocation
/// time, calls are shorter, down to what the store can be asked for.
inline constexpr objectstore::feed_timing configuration_feed_timing{
    std::chrono::milliseconds(1400), std::chrono::milliseconds(0), std::chrono::milliseconds(500)};
inline constexpr std::chrono::milliseconds min_configuration_watch_wait{100};
inline constexpr double configuration_watch_fraction = 0.28;
inline objectstore::feed_timing configuration_timing_for(std::chrono::milliseconds revocation_time)
{
    objectstore::feed_timing timing = configuration_feed_timing;
    const std::chrono::milliseconds wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        revocation_time * configuration_watch_fraction);
    timing.watch_wait = std::clamp(wait, min_configuration_watch_wait, timing.watch_wait);
    return timing;
}
/// Timing of the endpoint feed. Endpoints need no confirmation, so calls may wait long. Many
/// changes arrive together when processes start, so a delay after each change gathers them. The
/// delay is short enough that a change directly after another is still applied before the time at
/// which a leaving endpoint must no longer get new requests.
inline constexpr objectstore::feed_timing endpoint_feed_timing{std::chrono::milliseconds(8000),
                                                               std::chrono::milliseconds(900),
                                                               std::chrono::milliseconds(900)};
/// Wait time of a watch call for evacuations. They are rare and need no confirmation, so the calls
/// last as long as the store allows.
inline constexpr std::chrono::milliseconds evacuation_watch_wait{15000};
/// Fraction of the evacuation time after which a watch call may be repeated, when the store has
/// changed and its answer may be lost. The configuration feed's calls and the repeated one need the
/// rest.
inline constexpr double evacuation_repeat_fraction = 0.4;
/// Timing of the host poll. Hosts may be seen some seconds late, because running entries report
/// their state directly to their peers.
inline constexpr objectstore::poll_timing host_poll_timing{std::chrono::milliseconds(3000),
                                                           std::chrono::milliseconds(1000),
                                                           std::chrono::milliseconds(12000)};
/// Timing of the poll of quarantines. Entries tell each other of them directly, so the store is
/// read only after a start and for what an operator lifts.
inline constexpr objectstore::poll_timing quarantine_poll_timing{std::chrono::milliseconds(8000),
                                                                 std::chrono::milliseconds(2000),
                                                                 std::chrono::milliseconds(4000)};
/// Delay before a quarantine is written again after a failure, and maximum number that wait.
inline constexpr std::chrono::seconds quarantine_retry_delay{2};
inline constexpr std::size_t max_pending_quarantines = 1024;
/// Time for which a listing may still show the quarantine of a request that was cleared.
inline constexpr std::chrono::seconds cleared_quarantine_memory{60};
/// Time after which this entry's registration must appear in a listing. Otherwise it is written
/// again. Listings can be a few seconds old.
inline constexpr std::chrono::seconds registration_listing_delay{10};
/// Time after a restore of the store within which entries whose registrations were lost register
/// again.
inline constexpr std::chrono::seconds host_reregistration_period{15};
/// Interval at which an entry checks whether its registration exists.
inline constexpr std::chrono::seconds registration_check_interval{2};
/// Maximum number of endpoints whose learned concurrency is exported as a gauge.
inline constexpr std::size_t max_capacity_gauges = 128;
/// Lifetime of an address answer. Some callers keep an answer for three lifetimes, so a short
/// lifetime lets all callers leave a stopping entry soon.
inline constexpr std::chrono::seconds address_lifetime{1};
/// Time during which a stopping entry still accepts requests. Three address lifetimes and a margin.
inline constexpr std::chrono::milliseconds shutdown_grace_period{3300};
/// Time after the beginning of a stop for which requests are taken that may last until its end.
/// Nearly all of them end earlier, and most callers have no other address yet.
inline constexpr std::chrono::milliseconds stop_acceptance_period{2800};
/// Time before the end of a stop at which the requests that still run are answered with a failure.
inline constexpr std::chrono::milliseconds stop_answer_time{200};
/// Margin subtracted from the stop timeout, so that the process ends before the platform kills it.
inline constexpr std::chrono::milliseconds stop_timeout_margin{400};
/// Maximum number of addresses in one answer.
inline constexpr std::size_t max_addresses = 64;
/// Maximum age of a peer's last report while there are few peers. Callers are not directed to peers
/// with older reports.
inline constexpr std::chrono::milliseconds peer_report_lifetime{2000};
/// Interval of the periodic work on endpoints, queues, idle connections and gauges.
inline constexpr std::chrono::milliseconds maintenance_interval{100};
/// Margin subtracted from the revocation time of API keys, for differences between clocks.
inline constexpr std::chrono::milliseconds configuration_age_margin{300};
/// Maximum age of the configuration of a ready entry, as a fraction of the revocation time. Callers
/// are directed to other entries when it is exceeded.
inline constexpr double max_ready_age_ratio = 0.6;

} // namespace currantpitch::gateway
