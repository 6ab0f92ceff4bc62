#pragma once

#include <chrono>

namespace currantpitch::bench {

/// Measures the real time since its creation, also while the runtime clock is paused.
class stopwatch {
public:
    double nanoseconds() const
    {
        return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() -
                                                        started_at_)
            .count();
    }

private:
    std::chrono::steady_clock::time_point started_at_ = std::chrono::steady_clock::now();
};

} // namespace currantpitch::bench
