#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::membership {

/// Minimum number of entries that serve a workspace when its spec gives no number.
inline constexpr std::size_t min_entries_per_workspace = 2;
/// Timeout for connecting to a peer, and for receiving its hello.
inline constexpr std::chrono::milliseconds peer_hello_timeout{1000};
/// Delay before a failed connection to a peer is retried. It doubles with each attempt up to the
/// maximum.
inline constexpr std::chrono::milliseconds initial_dial_delay{100};
inline constexpr std::chrono::milliseconds max_dial_delay{2000};
/// Maximum number of processes whose presence reports are kept.
inline constexpr std::size_t max_presence_subjects = 100000;

} // namespace currantpitch::membership
