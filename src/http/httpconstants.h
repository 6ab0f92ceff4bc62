#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::http {

/// Default maximum size of a request's body, in bytes.
inline constexpr std::size_t max_body_bytes = 2 * 1024 * 1024;
/// Maximum size of a message's head (start line and header fields), in bytes.
inline constexpr std::size_t max_head_bytes = 16 * 1024;
/// Largest limit on the heads of requests that operators can set, in bytes. A connection holds a
/// head as a whole.
inline constexpr std::size_t max_configurable_head_bytes = 1024 * 1024;
/// Largest limit on the bodies of requests that operators can set, in bytes.
inline constexpr std::size_t max_configurable_body_bytes = 1024 * 1024 * 1024;
/// Maximum size of a response's body that client_connection::exchange reads, in bytes. Above the
/// largest page of a listing, and small enough for a process with 128 MB.
inline constexpr std::size_t max_response_bytes = 16 * 1024 * 1024;
/// Maximum size of received bytes that are not parsed yet. Bounds parts of a message that have no
/// limit of their own, such as the extensions of a chunk.
inline constexpr std::size_t max_unparsed_bytes = 256 * 1024;
/// Largest length of a body for which memory is reserved before it arrives, in bytes.
inline constexpr std::size_t max_reserved_body_bytes = 16 * 1024 * 1024;
/// Capacity of a connection's buffer that is kept between messages, in bytes.
inline constexpr std::size_t max_kept_buffer_bytes = 64 * 1024;
/// Bytes that are discarded after a request was refused, and the time for that. A connection that
/// is closed with unread bytes is reset, and the caller may lose the refusal.
inline constexpr std::size_t max_discarded_bytes = 8 * 1024 * 1024;
inline constexpr std::chrono::seconds discard_timeout{2};
/// Time after which a caller may repeat a request for which there was no memory.
inline constexpr std::chrono::seconds refusal_retry_after{1};
/// Time for which a caller's connection may stay open without a request.
inline constexpr std::chrono::seconds default_idle_timeout{120};
/// Time that a caller may take to accept a part of a response before the connection is closed.
inline constexpr std::chrono::seconds write_timeout{30};

} // namespace currantpitch::http
