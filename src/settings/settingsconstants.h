#pragma once

#include <chrono>

namespace currantpitch::settings {

/// Default lifetime of the addresses that are returned to callers.
inline constexpr std::chrono::seconds default_address_lifetime{10};
/// Default time limit for requests in flight to complete during a planned stop.
inline constexpr std::chrono::seconds default_stop_timeout{60};
/// Limits for durations in the settings.
inline constexpr std::chrono::milliseconds min_address_lifetime{1000};
inline constexpr std::chrono::minutes max_address_lifetime{10};
inline constexpr std::chrono::minutes max_stop_timeout{60};
/// Default number of ledger shards. All entries must use the same number.
inline constexpr unsigned default_ledger_shards = 16;
inline constexpr unsigned max_ledger_shards = 4096;

/// Minimum time for a key revocation to take effect everywhere. It must cover several round trips
/// to the store.
inline constexpr std::chrono::milliseconds min_revocation_time{1000};
/// Minimum time for the evacuation of a failure domain to take effect everywhere. It must cover the
/// detection of a lost answer of the store.
inline constexpr std::chrono::milliseconds min_evacuation_time{3000};
/// Minimum window over which retries are counted.
inline constexpr std::chrono::milliseconds min_retry_window{1000};

} // namespace currantpitch::settings
