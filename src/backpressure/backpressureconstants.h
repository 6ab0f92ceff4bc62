#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::backpressure {

/// Bounds on the limit of an endpoint, in requests per second. An endpoint that accepts fewer still
/// gets a request now and then, whose answer shows whether its limit has changed.
inline constexpr double min_request_limit = 0.1;
inline constexpr double max_request_limit = 1e6;
/// Number of permits of an endpoint that may start at the same time after a pause.
inline constexpr int max_permit_burst = 2;
/// Time for which a permit is valid. A permit that is not used by then is lost.
inline constexpr std::chrono::milliseconds permit_lifetime{500};
/// Upper bound on the time before its start at which a permit is granted.
inline constexpr std::chrono::milliseconds max_permit_lead{500};
/// Time for which a request waits for a permit before another endpoint is chosen.
inline constexpr std::chrono::milliseconds permit_wait{30};
/// Number of endpoints whose permits are requested for a request before it is queued.
inline constexpr int max_permit_requests = 3;
/// Upper bound on the time after which an entry that got no permit asks again.
inline constexpr std::chrono::milliseconds max_permit_retry{5000};
/// Time without an answer after which an entry asks for a permit again, and after which the owner
/// of the permits counts as unreachable.
inline constexpr std::chrono::milliseconds permit_answer_timeout{300};
/// Time after which the part of an unreachable entry is used by the others, if they are the
/// majority.
inline constexpr std::chrono::seconds absent_part_lifetime{10};
/// Upper bound on the time for which an endpoint gets no requests because it has asked for that.
inline constexpr std::chrono::seconds max_quiet_time{60};
/// Time for which what an endpoint has said is kept while the endpoint is not registered.
inline constexpr std::chrono::seconds unregistered_signal_lifetime{30};
/// Time for which a permit of a cold endpoint is valid, and again the time after its use within
/// which the request must be written. The bound holds within one second, so that permits that are
/// used late count in another second than the one they were issued for.
inline constexpr std::chrono::milliseconds cold_permit_lifetime{200};
/// Fraction of the bound on the requests to a cold endpoint that single entries use without asking.
inline constexpr double cold_own_fraction = 0.2;
/// Upper bound on the time for which an endpoint counts as cold without being reported again.
inline constexpr std::chrono::minutes max_cold_time{10};
/// Time for which the list of entries must not grow after the start of a new entry before the entry
/// issues permits of cold endpoints. Entries that start together do not all know each other at
/// first.
inline constexpr std::chrono::milliseconds roster_settling_time{2000};
/// Interruption of the process after which others may have taken over its endpoints' permits, and
/// time for which it then issues none for all entries.
inline constexpr std::chrono::milliseconds max_interruption{700};
inline constexpr std::chrono::milliseconds interruption_recovery{1000};
/// Maximum number of endpoints in one report to a peer.
inline constexpr std::size_t max_reported_signals = 1000;

} // namespace currantpitch::backpressure
