#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::entry {

/// Time a request may take when its caller names none, and the longest that is accepted.
inline constexpr std::chrono::milliseconds default_request_time{60'000};
inline constexpr std::chrono::milliseconds longest_request_time{600'000};
/// Tokens that one generation may ask for.
inline constexpr std::int64_t max_tokens = 1'000'000;
/// Interval of the entry's regular work: grants, expiries, findings, demand.
inline constexpr std::chrono::milliseconds tick_interval{50};
/// Interval of the demand reports and statuses to peers.
inline constexpr std::chrono::milliseconds report_interval{1000};
/// Wait before another endpoint is tried when none could take the work.
inline constexpr std::chrono::milliseconds no_endpoint_delay{50};
/// Most entries over which demand is passed on beyond direct peers.
inline constexpr std::size_t max_entries_for_demand = 64;
/// Interval at which a call waits for a new session with an agent that it must ask.
inline constexpr std::chrono::milliseconds connect_poll_interval{10};
/// Time suggested to callers of an entry that is about to stop.
inline constexpr std::chrono::milliseconds stopping_retry_after{100};
/// Time for a shard's owner to answer before this entry commits itself.
inline constexpr std::chrono::milliseconds owner_patience{1500};

} // namespace currantpitch::entry
