#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace currantpitch::intents {

/// Longest name of a resource, in bytes.
inline constexpr std::size_t max_name_bytes = 128;
/// Changes that a resource remembers, to tell a writer with a stale version what changed.
inline constexpr std::size_t max_remembered_changes = 8;
/// Deleted objects that a process remembers to tell its peers; older ones cost a full snapshot.
inline constexpr std::size_t max_tombstones = 4096;

/// Time after which changes that a peer has not confirmed are sent again.
inline constexpr std::chrono::milliseconds resend_interval{1200};
/// Interval of the statuses between peers.
inline constexpr std::chrono::milliseconds status_interval{1000};
/// Relays in each failure domain, which watch the platform for the others.
inline constexpr std::size_t relays_per_failure_domain = 2;
/// Time without any relay after which a process watches the platform itself.
inline constexpr std::chrono::milliseconds relay_timeout{1500};
/// Delay before a failed watch or listing is tried again, without jitter.
inline constexpr std::chrono::milliseconds watch_retry_delay{400};

/// Bounds of numbers in the specs.
inline constexpr std::int64_t max_ranks = 1024;
inline constexpr std::int64_t max_experts = 4096;
inline constexpr std::int64_t max_layers = 1024;
inline constexpr std::int64_t max_share = 1'000'000;
inline constexpr std::int64_t max_concurrency = 100'000;
inline constexpr double max_weight = 1'000'000;
inline constexpr std::int64_t max_expert_bytes = std::int64_t{1} << 50;

} // namespace currantpitch::intents
