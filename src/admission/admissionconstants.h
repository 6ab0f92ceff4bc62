#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::admission {

/// Fraction of the capacity up to which requests beyond a workspace's fair share are admitted.
inline constexpr double borrowing_utilization_limit = 0.85;
/// Maximum number of requests of one workspace that wait at one entry.
inline constexpr std::size_t max_waiting_per_workspace = 512;
/// Service time assumed until the first request finishes.
inline constexpr std::chrono::milliseconds initial_service_time{500};
/// Weight of the newest service time in the exponential moving average.
inline constexpr double service_time_weight = 0.05;
/// Age above which the demand reported by a peer is dropped. Without any reported demand, an entry
/// uses its fallback, an even split between the entries.
inline constexpr std::chrono::milliseconds demand_lifetime{3000};

/// Retries that each first attempt adds to the retry budget.
inline constexpr double retries_per_attempt = 0.1;
/// Maximum number of retries that the budget can accumulate.
inline constexpr double max_saved_retries = 20;
/// Delay before the first retry. It doubles with each further retry up to max_retry_delay.
inline constexpr std::chrono::milliseconds initial_retry_delay{20};
inline constexpr std::chrono::milliseconds max_retry_delay{1000};

/// Maximum time between two endpoint failures that belong to the same mass failure.
inline constexpr std::chrono::milliseconds mass_failure_window{500};
/// Number of endpoint failures within the window from which the cause is assumed to lie outside the
/// requests.
inline constexpr std::size_t mass_failure_threshold = 3;
/// Time for which a request stays suspect, and runs isolated from other suspects, after an endpoint
/// that ran it failed.
inline constexpr std::chrono::minutes suspicion_lifetime{10};
/// Duration of a quarantine.
inline constexpr std::chrono::minutes quarantine_lifetime{30};
/// Maximum number of suspect requests that a process tracks.
inline constexpr std::size_t max_suspects = 10000;
/// Maximum number of requests that a process holds back.
inline constexpr std::size_t max_held_requests = 1024;

/// Weight of a crash as evidence against the parts of a request that made no progress: the endpoint
/// had begun to answer it, or had not yet.
inline constexpr unsigned begun_answer_weight = 2;
inline constexpr unsigned unbegun_answer_weight = 1;
/// Time for which a suspected part or request is held back first, and its factor after each probe
/// that crashes. A probe that crashes its endpoint stops a whole group of engines for seconds.
inline constexpr std::chrono::seconds initial_hold{30};
/// The same where the endpoint ran other requests that may have crashed it as well.
inline constexpr std::chrono::seconds initial_ambiguous_hold{5};
inline constexpr int hold_growth = 10;
inline constexpr std::chrono::minutes max_hold{30};
/// Time within which a probe shows whether its endpoint crashes.
inline constexpr std::chrono::seconds probe_timeout{3};
/// Time after which a crash is no longer evidence.
inline constexpr std::chrono::minutes crash_evidence_lifetime{60};
/// Maximum number of crashes on record for a service.
inline constexpr std::size_t max_part_crashes = 256;
/// Maximum number of parts of a service whose progress is on record.
inline constexpr std::size_t max_recent_parts = 16384;

} // namespace currantpitch::admission
