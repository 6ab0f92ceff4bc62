#pragma once

#include "core/runtimeclock.h"

#include <chrono>

namespace currantpitch::core {

/// A clock that includes the time during which the machine was suspended, unlike runtime_clock.
/// Used for the age of data that must not be relied on beyond a limit. It follows runtime_clock
/// while a test has that clock paused.
class boot_clock {
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now();
    /// Simulates a suspension of the machine while runtime_clock is paused. Tests only.
    static void suspend_for(duration d);
};

using boot_time = boot_clock::time_point;

} // namespace currantpitch::core
