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

/// Maximum time for a key revocation to take effect everywhere. There is no minimum: keys must not
/// be valid for longer than the operator allows.
inline constexpr std::chrono::minutes max_revocation_time{60};
/// Range of the time for the evacuation of a failure domain to take effect everywhere. It must
/// cover the detection of a lost answer of the store.
inline constexpr std::chrono::milliseconds min_evacuation_time{3000};
inline constexpr std::chrono::minutes max_evacuation_time{60};
/// Range of the window over which retries are counted.
inline constexpr std::chrono::milliseconds min_retry_window{1};
inline constexpr std::chrono::hours max_retry_window{24};
/// Interval at which a running process looks for changes of its settings file.
inline constexpr std::chrono::seconds settings_check_interval{5};

} // namespace currantpitch::settings
