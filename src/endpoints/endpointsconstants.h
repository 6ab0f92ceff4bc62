#pragma once

#include <chrono>

namespace currantpitch::endpoints {

/// Time to connect to the endpoint.
inline constexpr std::chrono::milliseconds connect_timeout{500};
/// Time without a byte after which a generation counts as failed.
inline constexpr std::chrono::seconds stream_silence_limit{10};
/// Interval and timeout of the questions about load and health.
inline constexpr std::chrono::milliseconds poll_interval{250};
inline constexpr std::chrono::milliseconds poll_timeout{1000};
/// Longest time for one call of a plain service when the request names none.
inline constexpr std::chrono::seconds longest_call{60};
/// Part of the slots that work beyond its workspace's own part may fill. The rest is kept for work
/// within it, which must not wait for borrowed slots to come back.
inline constexpr double borrow_limit = 0.85;
/// Time after which a refusal for lack of slots suggests to try again.
inline constexpr std::chrono::milliseconds busy_retry_after{50};

} // namespace currantpitch::endpoints
