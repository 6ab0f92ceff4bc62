#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::objectstore {

/// Time for one call to the platform before its outcome counts as not known.
inline constexpr std::chrono::milliseconds call_timeout{1500};
/// Interval at which a watch carries a bookmark when nothing changes.
inline constexpr std::chrono::milliseconds bookmark_interval{1000};
/// Time without events after which a watch is considered dead and reopened.
inline constexpr std::chrono::milliseconds watch_idle_timeout{2500};
/// Longest pause before a failed listing or watch is tried again; half of it at least.
inline constexpr std::chrono::milliseconds watch_retry_delay{300};
/// Largest body of an object, in bytes.
inline constexpr std::size_t max_object_bytes = 1024 * 1024;
/// Idle connections that a process keeps to the platform.
inline constexpr std::size_t max_idle_connections = 4;

} // namespace currantpitch::objectstore
