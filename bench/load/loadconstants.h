#pragma once

#include <chrono>

namespace currantpitch::load {

/// Interval between progress lines.
inline constexpr std::chrono::seconds progress_interval{1};
/// Timeout of a complete call, of the head of a stream and of each read from a stream.
inline constexpr std::chrono::seconds response_timeout{30};
/// Maximum number of attempts of one request. Generations are retried only if nothing ran.
inline constexpr int max_attempts = 200;

} // namespace currantpitch::load
