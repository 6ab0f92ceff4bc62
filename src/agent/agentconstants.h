#pragma once

#include <chrono>

namespace currantpitch::agent {

/// Interval at which an agent looks whether its registration is in place.
inline constexpr std::chrono::seconds registration_interval{5};
/// Time for the last answers to reach their entries in a planned stop.
inline constexpr std::chrono::milliseconds farewell_time{1000};
/// Interval at which a stopping agent looks whether its work is done.
inline constexpr std::chrono::milliseconds stop_poll_interval{50};
/// Time for the first frame of a new connection.
inline constexpr std::chrono::milliseconds first_frame_timeout{2000};

} // namespace currantpitch::agent
