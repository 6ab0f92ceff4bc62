#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace currantpitch::wire {

/// First byte of each frame after its length field; a frame with another value closes the session.
inline constexpr std::uint8_t protocol_version = 1;
/// Size of a frame's length field (big endian), in bytes. The length counts version byte and
/// payload.
inline constexpr std::size_t length_field_bytes = 4;
/// Maximum size of version byte plus payload that is sent or accepted, in bytes.
inline constexpr std::size_t max_frame_bytes = 4 * 1024 * 1024;
/// Maximum size of all frames queued for one peer, in bytes.
inline constexpr std::size_t max_queued_bytes = 16 * 1024 * 1024;

/// Interval at which each side of a session sends a heartbeat.
inline constexpr std::chrono::milliseconds heartbeat_interval{500};
/// Time without received messages after which a session is considered lost.
inline constexpr std::chrono::milliseconds heartbeat_timeout{2000};

} // namespace currantpitch::wire
