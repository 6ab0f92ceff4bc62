#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::http {

/// Largest request or whole response body, in bytes.
inline constexpr std::size_t max_body_bytes = 2 * 1024 * 1024;
/// Largest head of a message, in bytes.
inline constexpr std::size_t max_head_bytes = 16 * 1024;
/// Time that a caller's connection may stay open without a request.
inline constexpr std::chrono::seconds idle_limit{120};
/// Time a caller may take to accept a piece of an answer before the connection is closed.
inline constexpr std::chrono::seconds write_limit{30};

} // namespace currantpitch::http
