#pragma once

#include <chrono>
#include <cstdint>

namespace currantpitch::soak {

/// The promises' bounds, as they stand in the settings of the processes and on the platform's
/// pages.
struct bounds {
    /// A process that was disturbed is judged by bounds of time only so long after.
    std::chrono::milliseconds contact{3000};
    std::chrono::milliseconds apply{2000};
    /// Time after which a process that showed a version shows no older one; eight times the usual
    /// bound, since processes are slowed here.
    std::chrono::milliseconds rollback{2000};
    std::chrono::milliseconds drain{2000};
    std::chrono::milliseconds revoke{5000};
    /// Time over a route's timeout within which a request has its final answer.
    std::chrono::milliseconds answer{500};
    /// Time within which the whole system serves again.
    std::chrono::milliseconds recovery{12000};
    std::chrono::milliseconds stop{8000};
    double retry_ratio = 0.2;
    unsigned retry_slack = 40;
    std::chrono::milliseconds retry_window{10000};
    /// Requests on more endpoints than their route allows; a few may be, as endpoints end under
    /// them.
    std::size_t over_attempts = 3;
    /// Part of the requests that is served after the last fault; the pages ask for a quarter.
    double served_after = 0.9;
};

/// Time for the processes to start and learn the site before callers come.
inline constexpr std::chrono::milliseconds start_time{3000};
/// Calm time at the end in which the system has to serve.
inline constexpr std::chrono::milliseconds last_calm{4000};
/// Mean time between two faults; several are under way at most times.
inline constexpr std::chrono::milliseconds fault_interval{900};
/// Mean pause of a caller between two requests.
inline constexpr std::chrono::milliseconds caller_pause{220};
/// Ports of the site; each process has a loopback address of its own.
inline constexpr std::uint16_t caller_port = 18100;
inline constexpr std::uint16_t directory_port = 18101;
inline constexpr std::uint16_t readiness_port = 18102;
inline constexpr std::uint16_t peer_port = 18103;
inline constexpr std::uint16_t metrics_port = 18104;
inline constexpr std::uint16_t endpoint_port = 18105;
inline constexpr std::uint16_t store_port = 18106;
/// Where the proxies in front of the above listen.
inline constexpr std::uint16_t proxy_port = 18107;

} // namespace currantpitch::soak
