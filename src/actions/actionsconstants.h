#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::actions {

/// Time for which the outcome of a call with a key is kept. Older keys are refused.
inline constexpr std::chrono::minutes retention{60};
/// Maximum time by which a key's issue time may lie ahead of this process's wall clock.
inline constexpr std::chrono::minutes max_clock_skew{5};
/// Maximum length of an idempotency key, in bytes.
inline constexpr std::size_t max_key_bytes = 4096;
/// Maximum size of a recorded reply body, in bytes. Of a longer reply, only status and
/// content type are recorded.
inline constexpr std::size_t max_recorded_body_bytes = 2048;
/// Size of a shard's object above which further claims are refused, in bytes.
inline constexpr std::size_t max_shard_bytes = std::size_t{900} * 1024;
/// Minimum time between the starts of two commits of one shard.
inline constexpr std::chrono::milliseconds commit_interval{60};
/// Number of attempts at one commit before its operations fail.
inline constexpr int max_commit_attempts = 6;
/// Delay between attempts at one commit.
inline constexpr std::chrono::milliseconds commit_retry_delay{100};
/// Interval at which a call polls a running attempt with the same key.
inline constexpr std::chrono::milliseconds running_poll_interval{100};
/// Maximum number of attempts of one call on different agents, as long as none has started.
inline constexpr int max_dispatches = 4;
/// Interval between retries of recording an outcome.
inline constexpr std::chrono::seconds record_retry_interval{2};

} // namespace currantpitch::actions
