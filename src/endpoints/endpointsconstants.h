#pragma once

#include <chrono>

namespace currantpitch::endpoints {

/// Timeout for connecting to the endpoint.
inline constexpr std::chrono::milliseconds connect_timeout{500};
/// Time without received data after which a generation is considered failed.
inline constexpr std::chrono::seconds stream_idle_timeout{10};
/// Interval and timeout of the requests for load and health.
inline constexpr std::chrono::milliseconds poll_interval{250};
inline constexpr std::chrono::milliseconds poll_timeout{1000};
/// Maximum time for one call of a plain service, used if the request has no shorter deadline.
inline constexpr std::chrono::seconds max_call_duration{60};
/// Fraction of the slots up to which work beyond its workspace's fair share is accepted. The rest
/// is reserved for work within the fair share, which must not wait for borrowed slots to be
/// returned.
inline constexpr double borrowing_utilization_limit = 0.85;
/// Time after which refused work may be retried, as suggested in the refusal.
inline constexpr std::chrono::milliseconds busy_retry_after{50};

} // namespace currantpitch::endpoints
