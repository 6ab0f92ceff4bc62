#pragma once

#include <chrono>
#include <cstdint>

namespace currantpitch::core {

/// The clock of the runtime. It follows the steady clock until a test pauses it; while paused it
/// moves only through advance_to. Meets the Clock requirements of the standard library.
class runtime_clock {
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock>;
    using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;
    static constexpr bool is_steady = true;

    static time_point now();
    /// Calendar time, for values that outlive a process such as issue times and the expiry of
    /// stored records.
    static wall_time wall_now();

    static bool paused();
    /// Stops the clock at a fixed time point. Tests only.
    static void pause();
    /// Moves a paused clock forward; earlier time points are ignored. Tests only.
    static void advance_to(time_point t);
    /// Makes the clock follow the steady clock again. Tests only.
    static void resume();
};

using time_point = runtime_clock::time_point;
using duration = runtime_clock::duration;
using wall_time = runtime_clock::wall_time;

/// Converts a duration to whole milliseconds, for logs and messages.
inline std::int64_t to_milliseconds(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace currantpitch::core
