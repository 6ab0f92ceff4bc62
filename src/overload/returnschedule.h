#pragma once

#include "core/runtimeclock.h"

#include <map>
#include <random>

namespace currantpitch::overload {

/// Times at which refused callers of one service return. Callers of a priority return one after
/// another as slots become free for them, after those of more urgent priorities. If more are
/// refused than slots become free, they are spread over the last half of the longest delay.
class return_schedule {
public:
    explicit return_schedule(std::uint64_t seed) : random_(seed) {}

    /// Delay of the next refused caller, within min_return_delay and max_return_delay. The number
    /// of requests that wait and the number that this gateway can start in a second are those of
    /// the caller's priority.
    std::chrono::milliseconds delay(int priority, double waiting, double starts_per_second,
                                    core::time_point now);

private:
    /// Time at which the latest refused caller of the priority returns.
    std::map<int, core::time_point> latest_;
    std::mt19937_64 random_;
};

} // namespace currantpitch::overload
