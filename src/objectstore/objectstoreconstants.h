#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::objectstore {

/// Timeout of one call to the platform. After it the outcome of the call is unknown.
inline constexpr std::chrono::milliseconds call_timeout{1500};
/// Interval between bookmarks on a watch while nothing changes.
inline constexpr std::chrono::milliseconds bookmark_interval{1000};
/// Time without events after which a watch is considered broken and reopened.
inline constexpr std::chrono::milliseconds watch_idle_timeout{2500};
/// Base of the delay before a failed listing or watch is retried. The delay doubles with each
/// consecutive failure up to feed_timing::max_retry_delay; jitter shortens it by at most half.
inline constexpr std::chrono::milliseconds base_retry_delay{300};
/// Time within which a watch call is answered after the store has reached a revision with a change.
/// After it the call is repeated, as its answer may have been lost.
inline constexpr std::chrono::milliseconds missing_answer_delay{300};
/// Default of feed_timing::min_repeat_interval.
inline constexpr std::chrono::milliseconds min_watch_repeat_interval{1000};
/// Maximum size of an object's body, in bytes.
inline constexpr std::size_t max_object_bytes = 1024 * 1024;
/// Maximum number of idle connections to the platform that a process keeps open.
inline constexpr std::size_t max_idle_connections = 4;

} // namespace currantpitch::objectstore
