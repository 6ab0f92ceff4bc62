#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace currantpitch::sessions {

/// Tokens that an agent may send ahead of what the caller has accepted.
inline constexpr std::uint64_t token_window = 64;
/// Time to connect to an agent and exchange hellos.
inline constexpr std::chrono::milliseconds hello_timeout{1000};
/// Delay before the first reconnection; doubles with each failure, with jitter.
inline constexpr std::chrono::milliseconds first_reconnect_delay{50};
inline constexpr std::chrono::milliseconds longest_reconnect_delay{2000};
/// Time an agent keeps what it knows of an entry incarnation after its last session.
inline constexpr std::chrono::minutes incarnation_retention{60};
/// Incarnations that an agent remembers to have dropped.
inline constexpr std::size_t max_dropped_incarnations = 65536;
/// Largest reply of a call that is kept for a resend, in bytes; a longer one is passed on once.
inline constexpr std::size_t max_kept_reply_bytes = std::size_t{64} * 1024;

} // namespace currantpitch::sessions
