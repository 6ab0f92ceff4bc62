#pragma once

#include <chrono>

namespace currantpitch::bench {

/// Time since its creation on the real clock.
class stopwatch {
public:
    double nanoseconds() const
    {
        return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begun_)
            .count();
    }

private:
    std::chrono::steady_clock::time_point begun_ = std::chrono::steady_clock::now();
};

} // namespace currantpitch::bench
