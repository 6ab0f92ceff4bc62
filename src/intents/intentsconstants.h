#pragma once

#include <cstddef>
#include <cstdint>

namespace currantpitch::intents {

/// Longest name of a resource, in bytes.
inline constexpr std::size_t max_name_bytes = 128;
/// Changes that a resource remembers, to tell a writer with a stale version what changed.
inline constexpr std::size_t max_remembered_changes = 8;
/// Deleted objects that a process remembers to tell its peers; older ones cost a full snapshot.
inline constexpr std::size_t max_tombstones = 4096;

/// Bounds of numbers in the specs.
inline constexpr std::int64_t max_ranks = 1024;
inline constexpr std::int64_t max_experts = 4096;
inline constexpr std::int64_t max_layers = 1024;
inline constexpr std::int64_t max_share = 1'000'000;
inline constexpr std::int64_t max_concurrency = 100'000;
inline constexpr double max_weight = 1'000'000;
inline constexpr std::int64_t max_expert_bytes = std::int64_t{1} << 50;

} // namespace currantpitch::intents
