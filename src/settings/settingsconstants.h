#pragma once

#include <chrono>

namespace currantpitch::settings {

/// Lifetime of an address answer when the settings name none.
inline constexpr std::chrono::seconds default_address_lifetime{10};
/// Time for requests in flight to finish in a planned stop when the settings name none.
inline constexpr std::chrono::seconds default_stop_timeout{60};
/// Bounds of the times in the settings.
inline constexpr std::chrono::milliseconds shortest_address_lifetime{1000};
inline constexpr std::chrono::minutes longest_address_lifetime{10};
inline constexpr std::chrono::minutes longest_stop_timeout{60};
/// Ledger shards when the settings name none; all entries must agree on the number.
inline constexpr unsigned default_ledger_shards = 16;
inline constexpr unsigned most_ledger_shards = 4096;

/// Least time for a key to stop working everywhere: some round trips to the store.
inline constexpr std::chrono::milliseconds shortest_revocation_time{1000};
/// Least window over which repeats are counted.
inline constexpr std::chrono::milliseconds shortest_retry_window{1000};

} // namespace currantpitch::settings
