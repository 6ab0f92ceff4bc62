#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::http {

/// Default maximum size of a request's body, in bytes.
inline constexpr std::size_t max_body_bytes = 2 * 1024 * 1024;
/// Maximum size of a message's head (start line and header fields), in bytes.
inline constexpr std::size_t max_head_bytes = 16 * 1024;
/// Maximum size of a response's body that client_connection::exchange reads, in bytes. Above the
/// largest page of a listing, and small enough for a process with 128 MB.
inline constexpr std::size_t max_response_bytes = 16 * 1024 * 1024;
/// Maximum size of received bytes that are not parsed yet. Bounds parts of a message that have no
/// limit of their own, such as the extensions of a chunk.
inline constexpr std::size_t max_unparsed_bytes = 256 * 1024;
/// Time for which a caller's connection may stay open without a request.
inline constexpr std::chrono::seconds default_idle_timeout{120};
/// Time that a caller may take to accept a part of a response before the connection is closed.
inline constexpr std::chrono::seconds write_timeout{30};

} // namespace currantpitch::http
