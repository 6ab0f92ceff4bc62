#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::entry {

/// Timeout of a request whose caller sets none.
inline constexpr std::chrono::milliseconds default_request_timeout{60'000};
/// Maximum timeout of a request. Longer ones are reduced to it.
inline constexpr std::chrono::milliseconds max_request_timeout{600'000};
/// Maximum number of tokens that one generation may request.
inline constexpr std::int64_t max_tokens = 1'000'000;
/// Interval of the entry's periodic work: admission grants and expiries, crash findings and gauges.
inline constexpr std::chrono::milliseconds tick_interval{50};
/// Interval at which demand and configuration status are reported to peers, and at which watches of
/// the resource API are updated.
inline constexpr std::chrono::milliseconds report_interval{1000};
/// Retry delay suggested to callers when no endpoint can take the work.
inline constexpr std::chrono::milliseconds no_endpoint_retry_after{50};
/// Maximum number of entries with which relays forward demand reports. With more entries, the
/// reports reach direct peers only.
inline constexpr std::size_t max_entries_for_demand = 64;
/// Polling interval of a call that waits for a session with an agent that it must query.
inline constexpr std::chrono::milliseconds connect_poll_interval{10};
/// Retry delay suggested to callers when the entry is stopping or not ready, and the minimum delay
/// suggested with an admission refusal.
inline constexpr std::chrono::milliseconds default_retry_after{100};
/// Time that the owner of a ledger shard has to reply. After it, this entry commits the operation
/// itself.
inline constexpr std::chrono::milliseconds owner_reply_timeout{1500};

} // namespace currantpitch::entry
