#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace currantpitch::intents {

/// Maximum length of the name of a resource, in bytes.
inline constexpr std::size_t max_name_bytes = 128;
/// Changes recorded in a resource, which show a writer with a stale version the changed fields.
inline constexpr std::size_t max_change_history = 8;
/// Maximum number of tombstones that a process keeps for its peers. A peer that lacks an older
/// deletion needs a full snapshot.
inline constexpr std::size_t max_tombstones = 4096;

/// Time after which unconfirmed changes are sent to a peer again.
inline constexpr std::chrono::milliseconds resend_interval{1200};
/// Interval between the status messages to a peer.
inline constexpr std::chrono::milliseconds status_interval{1000};
/// Relays in each failure domain. They watch the platform on behalf of the other processes.
inline constexpr std::size_t relays_per_failure_domain = 2;
/// Time without a connected relay after which a process watches the platform itself.
inline constexpr std::chrono::milliseconds relay_timeout{1500};
/// Delay before a failed watch or listing is retried. Jitter shortens it by up to half.
inline constexpr std::chrono::milliseconds watch_retry_delay{400};

/// Upper bounds of numbers in the specs.
inline constexpr std::int64_t max_ranks = 1024;
inline constexpr std::int64_t max_experts = 4096;
inline constexpr std::int64_t max_layers = 1024;
inline constexpr std::int64_t max_share = 1'000'000;
inline constexpr std::int64_t max_concurrency = 100'000;
inline constexpr double max_weight = 1'000'000;
inline constexpr std::int64_t max_expert_bytes = std::int64_t{1} << 50;

} // namespace currantpitch::intents
