#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::actions {

/// Time for which the outcome of a keyed call is kept; an older key is refused.
inline constexpr std::chrono::minutes retention{60};
/// How far a key's issue time may lie ahead of this process's calendar time.
inline constexpr std::chrono::minutes longest_clock_lead{5};
/// Longest idempotency key that is accepted, in bytes.
inline constexpr std::size_t max_key_bytes = 4096;
/// Largest reply that is recorded, in bytes; of a longer one only the status is kept.
inline constexpr std::size_t max_recorded_body_bytes = 2048;
/// Size of a shard's object from which no further claims are taken, in bytes.
inline constexpr std::size_t max_shard_bytes = std::size_t{900} * 1024;
/// Shortest time between the starts of two commits of one shard.
inline constexpr std::chrono::milliseconds commit_interval{60};
/// Tries of one commit before its operations fail.
inline constexpr int max_commit_tries = 6;
/// Delay between such tries.
inline constexpr std::chrono::milliseconds commit_retry_delay{100};
/// Interval at which a call waits for another attempt of the same key.
inline constexpr std::chrono::milliseconds running_poll_interval{100};
/// Attempts of one call on different agents, as long as none has started.
inline constexpr int max_dispatches = 4;
/// Interval at which an outcome that could not be recorded is tried again.
inline constexpr std::chrono::seconds record_retry_interval{2};

} // namespace currantpitch::actions
