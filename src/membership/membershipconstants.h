#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::membership {

/// Fewest entries that serve a workspace when its intent names no number.
inline constexpr std::size_t fewest_entries = 2;
/// Time to connect to a peer and exchange hellos.
inline constexpr std::chrono::milliseconds peer_hello_timeout{1000};
/// Delay before a failed connection to a peer is tried again, doubling up to the limit.
inline constexpr std::chrono::milliseconds first_dial_delay{100};
inline constexpr std::chrono::milliseconds longest_dial_delay{2000};
/// Presence reports that a process keeps.
inline constexpr std::size_t max_presence_notes = 100000;

} // namespace currantpitch::membership
