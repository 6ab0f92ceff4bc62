#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>

namespace currantpitch::proxy {

/// Request limit per endpoint for services without engines. So high that only the endpoint's own
/// slots limit its requests.
inline constexpr unsigned unlimited_concurrency = 1'000'000;
/// Timeout for connecting to an endpoint. A round trip between failure domains takes a few
/// milliseconds, and a lost SYN packet is retransmitted only after a second.
inline constexpr std::chrono::milliseconds connect_timeout{400};
/// Reason of a refusal because the prompt has parts that are suspected of crashing endpoints.
inline constexpr std::string_view part_suspected_reason = "part_suspected";
/// Reason of a refusal because the request as a whole is suspected of crashing endpoints.
inline constexpr std::string_view request_suspected_reason = "request_suspected";
/// Reason of a refusal because all endpoints limit their requests.
inline constexpr std::string_view endpoints_limited_reason = "endpoints_limited";
/// Reason of a refusal because the remaining slots are kept for more urgent requests.
inline constexpr std::string_view reserved_reason = "reserved";
/// Reason of a refusal because all endpoints of the service refuse requests and are not expected to
/// accept them again while the caller waits.
inline constexpr std::string_view outage_reason = "outage";
/// Interval at which a request that waits for the end of an outage checks whether it may go on.
inline constexpr std::chrono::milliseconds outage_check_interval{50};
/// The same after the end, while more urgent requests go first.
inline constexpr std::chrono::milliseconds outage_order_interval{2};
/// Timeout of the connection that shows whether an endpoint that broke off has crashed. One that
/// has ended refuses it at once.
inline constexpr std::chrono::milliseconds crash_check_timeout{200};
/// Minimum time left before the deadline for sending a request to an endpoint.
inline constexpr std::chrono::milliseconds min_time_left{30};
/// Fraction of the caller's timeout after which an idempotent request without an answer is sent to
/// another endpoint.
inline constexpr double answer_timeout_fraction = 0.4;
/// Lower bound on the time after which such a request is sent to another endpoint.
inline constexpr std::chrono::milliseconds min_answer_timeout{300};
/// Idle time after which a stream is resumed at another endpoint if no other stream of the service
/// is running. Engines that depend on a failed one abort their work after 1.5 s.
inline constexpr std::chrono::milliseconds stream_idle_timeout{1700};
/// Idle time after which a stream is resumed at another endpoint if the service's other streams
/// make progress.
inline constexpr std::chrono::milliseconds stream_idle_timeout_if_others_progress{800};
/// The same before a stream's first event. Longer, as the request may still be queued at the
/// engine.
inline constexpr std::chrono::milliseconds first_event_timeout_if_others_progress{1500};
/// Maximum time since the last event of any stream for a service to count as making progress.
inline constexpr std::chrono::milliseconds max_service_progress_age{200};
/// Interval at which the idle time of a running attempt is checked.
inline constexpr std::chrono::milliseconds watchdog_interval{100};
/// Fraction of the target latency for which a request waits for a slot. An answer after the target
/// latency is of little value, and the caller can retry.
inline constexpr double queue_wait_fraction = 0.5;
/// Time before the end of a route's timeout at which a request is ended, so that the answer still
/// arrives in time.
inline constexpr std::chrono::milliseconds answer_margin{50};
/// Maximum idle time of a connection that is reused for a request that may run only once.
inline constexpr std::chrono::milliseconds at_most_once_max_idle_time{300};
/// Keep-alive timeout of idle connections to endpoints that report none.
inline constexpr std::chrono::milliseconds default_keep_alive_timeout{4000};
/// Fraction of the keep-alive timeout reported by an endpoint for which a connection is kept.
inline constexpr double keep_alive_timeout_fraction = 0.6;
/// Maximum number of idle connections to one endpoint.
inline constexpr std::size_t max_idle_per_endpoint = 8;
/// Retry delay that is sent to callers while an entry cannot route requests.
inline constexpr std::chrono::milliseconds unready_retry_after{500};
/// Maximum size of an answer that is not a stream, in bytes.
inline constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;
/// Maximum size of all bodies of callers' requests together that a process holds, in bytes, where
/// the settings say nothing of its memory, and the fraction of that memory otherwise. The rest is
/// for answers, connections and the process itself.
inline constexpr std::size_t default_request_bytes = std::size_t{150} * 1024 * 1024;
inline constexpr double request_memory_fraction = 0.6;
/// Maximum size of all answers together that a process has read and not yet forwarded, in bytes.
inline constexpr std::size_t max_answers_bytes = std::size_t{32} * 1024 * 1024;
/// Maximum size of a single event of a stream, in bytes.
inline constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;
/// Maximum number of parts of a prompt that are taken into account, and the maximum length of their
/// ids, in bytes.
inline constexpr std::size_t max_shared_parts = 16;
inline constexpr std::size_t max_part_id_bytes = 64;
/// Maximum number of answers with the id of another request that are skipped on one connection.
inline constexpr int max_mismatched_answers = 2;
/// Number of times that a request is given to another endpoint because its permit is lost before it
/// is sent.
inline constexpr int max_attempts_left_out = 5;

} // namespace currantpitch::proxy
