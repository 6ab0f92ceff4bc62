#pragma once

#include "core/runtimeclock.h"

#include <chrono>

namespace currantpitch::core {

/// A clock that also counts the time for which the machine was suspended, unlike the runtime's
/// clock. For the age of knowledge that must not be trusted beyond a bound. Follows the runtime's
/// clock while a test has paused that one.
class boot_clock {
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now();
    /// Lets the machine of a paused clock be suspended for a time. Tests only.
    static void suspend_for(duration d);
};

using boot_time = boot_clock::time_point;

} // namespace currantpitch::core
