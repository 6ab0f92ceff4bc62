#pragma once

#include <chrono>

namespace currantpitch::load {

/// Interval of the progress lines.
inline constexpr std::chrono::seconds progress_interval{1};
/// Time without a byte after which the tool gives a stream up.
inline constexpr std::chrono::seconds stream_patience{30};
/// Tries of one request after refusals that prove that nothing ran.
inline constexpr int max_tries = 200;

} // namespace currantpitch::load
