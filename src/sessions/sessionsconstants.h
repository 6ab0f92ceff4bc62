#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace currantpitch::sessions {

/// Tokens that an agent may send ahead of what the caller has accepted.
inline constexpr std::uint64_t token_window = 64;
/// Timeout for connecting to an agent and exchanging hello messages.
inline constexpr std::chrono::milliseconds hello_timeout{1000};
/// Delay before the first reconnection. Doubles with each failure up to the maximum, with jitter.
inline constexpr std::chrono::milliseconds initial_reconnect_delay{50};
inline constexpr std::chrono::milliseconds max_reconnect_delay{2000};
/// Time for which an agent retains its state of an entry incarnation after the last message.
inline constexpr std::chrono::minutes incarnation_retention{60};
/// Maximum number of dropped incarnations for which an agent keeps a summary.
inline constexpr std::size_t max_dropped_incarnations = 65536;
/// Maximum size of a call's reply that is kept for a resend, in bytes. A longer reply is sent only
/// once.
inline constexpr std::size_t max_kept_reply_bytes = std::size_t{64} * 1024;

} // namespace currantpitch::sessions
