#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace currantpitch::soak {

/// Limits of the checked guarantees. They match the settings of the processes and the documentation
/// of the platform.
struct guarantee_limits {
    /// Time after a disturbance during which the time limits don't apply to the process yet. The
    /// limits rollback and revoke always apply.
    std::chrono::milliseconds settling_time{3000};
    /// Time within which a gateway must apply a changed configuration.
    std::chrono::milliseconds apply{2000};
    /// Time after which a process that has used a configuration version must not use an older one.
    /// Eight times the usual limit, since the processes run slower in this test.
    std::chrono::milliseconds rollback{2000};
    /// Time after which a leaving endpoint must not run new requests.
    std::chrono::milliseconds drain{2000};
    /// Time after which a removed key must not be accepted.
    std::chrono::milliseconds revoke{5000};
    /// Time after which no request must reach an evacuated failure domain.
    std::chrono::milliseconds evacuate{5000};
    /// Time beyond a route's timeout within which a request must have its final answer.
    std::chrono::milliseconds answer{500};
    /// Time within which the whole system serves requests again.
    std::chrono::milliseconds recovery{12000};
    /// Maximum duration of a planned stop.
    std::chrono::milliseconds stop{8000};
    /// The retries at a service within retry_window must not exceed retry_ratio times its requests
    /// plus retry_slack.
    double retry_ratio = 0.2;
    unsigned retry_slack = 40;
    std::chrono::milliseconds retry_window{10000};
    /// Number of requests that may run at more endpoints than their route allows. A few are
    /// accepted, since an endpoint may stop while it runs a request.
    std::size_t max_excess_attempts = 3;
    /// Number of crashes by a part of prompts after which requests with it must not reach endpoints
    /// any more, and of those that may do so all the same.
    std::size_t max_part_crashes = 5;
    std::size_t max_late_crashing_requests = 3;
    /// The same for a request that comes again, whatever its id.
    std::size_t max_request_crashes = 3;
    std::size_t max_late_repeats = 3;
    /// Ratio of sound requests that may be refused because they are suspected of crashing
    /// endpoints.
    double max_suspected_ratio = 0.001;
    /// A cold endpoint may get this multiple of its declared rate and some requests in addition
    /// within any second, from all gateways together.
    double cold_overshoot = 1.5;
    double cold_tolerance = 5;
    /// Ratio of requests that must succeed after the last fault. The platform's documentation
    /// requires a quarter.
    double min_served_ratio = 0.9;
};

/// Memory that a gateway may use, in bytes.
inline constexpr std::size_t max_gateway_memory_bytes = std::size_t{260} * 1024 * 1024;
/// Time for the processes to start and to load the configuration before callers start.
inline constexpr std::chrono::milliseconds startup_time{3000};
/// Time without faults at the end, in which the system has to serve requests.
inline constexpr std::chrono::milliseconds final_fault_free_time{4000};
/// Mean time between the starts of two faults. Several faults are usually active at once.
inline constexpr std::chrono::milliseconds mean_fault_interval{900};
/// The same for each kind that is added to the faults of a seed.
inline constexpr std::chrono::milliseconds mean_added_fault_interval{10000};
/// Bounds of the time for which a failure domain is evacuated, and of the pause before the next
/// one.
inline constexpr std::chrono::milliseconds min_evacuation{6000};
inline constexpr std::chrono::milliseconds max_evacuation{10000};
inline constexpr std::chrono::milliseconds max_evacuation_pause{1500};
/// Probability that the next evacuation begins before the end of the previous one.
inline constexpr double evacuation_overlap_probability = 0.3;
/// Time for which an endpoint is cold, and requests per second that it accepts meanwhile.
inline constexpr std::chrono::milliseconds cold_time{3000};
inline constexpr double cold_per_second = 4;
/// Mean pause of a caller between two requests.
inline constexpr std::chrono::milliseconds mean_caller_pause{220};
/// Ports of the site. Each process has a loopback address of its own.
inline constexpr std::uint16_t caller_port = 18100;
inline constexpr std::uint16_t directory_port = 18101;
inline constexpr std::uint16_t readiness_port = 18102;
inline constexpr std::uint16_t peer_port = 18103;
inline constexpr std::uint16_t metrics_port = 18104;
inline constexpr std::uint16_t endpoint_port = 18105;
inline constexpr std::uint16_t store_port = 18106;
/// Port of the proxies in front of these servers.
inline constexpr std::uint16_t proxy_port = 18107;

} // namespace currantpitch::soak
