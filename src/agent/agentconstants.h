#pragma once

#include <chrono>

namespace currantpitch::agent {

/// Delay before a failed registration is attempted again.
inline constexpr std::chrono::seconds registration_retry_delay{5};
/// Time in a planned stop for the last answers to reach the entries.
inline constexpr std::chrono::milliseconds final_flush_time{1000};
/// Interval at which a stopping agent checks whether its work has finished.
inline constexpr std::chrono::milliseconds stop_poll_interval{50};
/// Time within which the first frame of a new connection must arrive.
inline constexpr std::chrono::milliseconds first_frame_timeout{2000};

} // namespace currantpitch::agent
