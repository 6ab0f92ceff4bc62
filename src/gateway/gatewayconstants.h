#pragma once

#include "objectstore/kindpoll.h"

#include <chrono>
#include <cstddef>

namespace currantpitch::gateway {

/// The watch of the configuration waits at the store for that long. What it shows is proven only
/// when its call returns, so that this bounds the age of the keys.
inline constexpr objectstore::feed_timing configuration_pace{
    std::chrono::milliseconds(1400), std::chrono::milliseconds(0), std::chrono::milliseconds(500)};
/// Endpoints need no proof. Their changes come in crowds at starts, and one that comes right after
/// another is still seen within the time in which an endpoint that leaves gets nothing new.
inline constexpr objectstore::feed_timing membership_pace{std::chrono::milliseconds(8000),
                                                          std::chrono::milliseconds(900),
                                                          std::chrono::milliseconds(900)};
/// The other entries' hosts may be known some seconds late: those that live report themselves.
inline constexpr objectstore::poll_timing host_pace{std::chrono::milliseconds(3000),
                                                    std::chrono::milliseconds(1000),
                                                    std::chrono::milliseconds(12000)};
/// Time after which an own registration must have been listed, or is written again; old listings
/// are a few seconds old.
inline constexpr std::chrono::seconds registration_seen_after{10};
/// Interval at which a missing registration is noticed.
inline constexpr std::chrono::seconds registration_pause{2};
/// Lifetime of an address answer. Short, so that callers have left an entry that stops within
/// three lifetimes, which is how long some of them keep an answer.
inline constexpr std::chrono::seconds address_lifetime{1};
/// Time for which a stopping entry still serves whoever comes: three lifetimes and a margin.
inline constexpr std::chrono::milliseconds farewell_time{3300};
/// Part of the stop timeout that is kept back, so that the process ends before it is killed.
inline constexpr std::chrono::milliseconds stop_reserve{400};
/// Addresses in one answer at most.
inline constexpr std::size_t max_addresses = 64;
/// Interval at which loads are reported to the peers when they have changed.
inline constexpr std::chrono::milliseconds load_report_interval{100};
/// Reports without a change are sent once in so many intervals.
inline constexpr int unchanged_reports_skipped = 4;
/// Age of a peer's last report up to which callers are sent to it.
inline constexpr std::chrono::milliseconds peer_report_lifetime{2000};
/// Interval of the regular work on endpoints and idle connections.
inline constexpr std::chrono::milliseconds upkeep_interval{100};
/// Margin subtracted from the bound on a key's revocation, for clocks that differ.
inline constexpr std::chrono::milliseconds configuration_age_margin{300};
/// Age of the configuration, as a part of the revocation time, beyond which callers are sent to
/// other entries.
inline constexpr double ready_age_share = 0.6;

} // namespace currantpitch::gateway
