#pragma once

#include <chrono>

namespace currantpitch::evacuation {

/// Time after a restore of the store within which operators have written again what the store lost.
/// An evacuation that a listing still lacks then has ended. The same as for registrations,
/// directory::stale_registration_lifetime.
inline constexpr std::chrono::milliseconds rewrite_period{5000};

} // namespace currantpitch::evacuation
