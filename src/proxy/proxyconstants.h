#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::proxy {

/// Limit on the requests at one endpoint of a service without engines, which its own slots bound.
inline constexpr unsigned unpaced_concurrency = 1'000'000;
/// Time to connect to an endpoint: a round trip between failure domains takes a few milliseconds,
/// and a lost opening packet is sent again after a second only.
inline constexpr std::chrono::milliseconds connect_timeout{400};
/// Least time left for which a request is still sent to an endpoint.
inline constexpr std::chrono::milliseconds least_time_left{30};
/// Part of a caller's patience after which an idempotent request without an answer is sent to
/// another endpoint, and the least such time.
inline constexpr double repeat_after_share = 0.4;
inline constexpr std::chrono::milliseconds least_repeat_after{300};
/// Silence after which a stream is resumed elsewhere although nothing else is known. Engines that
/// depend on a lost one cut their work off after 1.5 s.
inline constexpr std::chrono::milliseconds longest_stream_silence{1700};
/// Silence after which a stream is resumed elsewhere when the service's other streams go on.
inline constexpr std::chrono::milliseconds lone_stream_silence{800};
/// The same before a stream's first event, when the request may still wait at the engine.
inline constexpr std::chrono::milliseconds lone_first_event_silence{1500};
/// How lately another stream must have gone on for its service to count as going on.
inline constexpr std::chrono::milliseconds service_progress_age{200};
/// Interval at which a running attempt is checked for silence.
inline constexpr std::chrono::milliseconds watchdog_interval{100};
/// Part of the target latency for which a request waits for a slot: what comes later than the
/// target earns little, and the caller can come back.
inline constexpr double queue_wait_share = 0.5;
/// Time before the end of a route's timeout at which the system gives up, so that its answer
/// arrives in time.
inline constexpr std::chrono::milliseconds answer_margin{50};
/// Age of an idle connection up to which it carries a request that may run only once.
inline constexpr std::chrono::milliseconds fresh_connection_age{300};
/// Time for which an idle connection is kept when the endpoint names none.
inline constexpr std::chrono::milliseconds default_idle_time{4000};
/// Part of the idle time that an endpoint names which is used.
inline constexpr double idle_time_share = 0.6;
/// Idle connections that are kept for one endpoint.
inline constexpr std::size_t max_idle_per_endpoint = 8;
/// Time after which a caller may come back to an entry that cannot judge requests yet.
inline constexpr std::chrono::milliseconds unready_retry_after{500};
/// Largest whole answer of an endpoint, in bytes.
inline constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;
/// Largest single event of a stream, in bytes.
inline constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;
/// Foreign answers on one connection that are skipped before it is given up.
inline constexpr int max_foreign_answers = 2;

} // namespace currantpitch::proxy
