#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::routing {

/// Points of one endpoint on the ring.
inline constexpr std::size_t points_per_endpoint = 64;
/// An endpoint keeps a prefix while its load is at most this multiple of the mean load.
inline constexpr double affinity_load_bound = 1.25;
/// Requests above the bound that are still allowed, so that small loads keep their affinity.
inline constexpr double affinity_slack = 2.0;
/// Age above which a load report counts as unknown.
inline constexpr std::chrono::milliseconds report_lifetime{2000};
/// Random draws before all endpoints are looked at.
inline constexpr int random_draws = 8;
/// Endpoints of one service that one entry uses at the most.
inline constexpr std::size_t max_endpoints_per_service = 16;
/// Time without progress after which a generation is moved to another endpoint.
inline constexpr std::chrono::milliseconds progress_limit{3000};
/// Attempts for one generation, the first included.
inline constexpr int max_attempts = 6;
/// Bytes of a prompt that count for prefix affinity.
inline constexpr std::size_t prefix_bytes = 256;

} // namespace currantpitch::routing
