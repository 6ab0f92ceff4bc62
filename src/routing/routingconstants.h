#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::routing {

/// Number of points of one endpoint on the hash ring.
inline constexpr std::size_t points_per_endpoint = 64;
/// An endpoint keeps a prefix while its load is at most this multiple of the mean load.
inline constexpr double affinity_load_bound = 1.25;
/// Requests allowed above the bound, so that prefix affinity also works at low load.
inline constexpr double affinity_slack = 2.0;
/// Age of the latest report above which the load of an endpoint counts as unknown.
inline constexpr std::chrono::milliseconds report_lifetime{2000};
/// Random samples before all endpoints are scanned for an eligible one.
inline constexpr int max_random_samples = 8;
/// Maximum number of endpoints of one service that one entry uses.
inline constexpr std::size_t max_endpoints_per_service = 16;
/// Time without progress after which a generation is moved to another endpoint.
inline constexpr std::chrono::milliseconds progress_timeout{3000};
/// Maximum number of attempts for one generation, including the first.
inline constexpr int max_attempts = 6;
/// Number of leading bytes of a prompt that determine its prefix affinity.
inline constexpr std::size_t prefix_bytes = 256;

} // namespace currantpitch::routing
