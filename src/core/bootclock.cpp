#include "core/bootclock.h"

#include <ctime>

namespace currantpitch::core {

namespace {

boot_clock::duration& simulated_suspension()
{
    static boot_clock::duration total{};
    return total;
}

} // namespace

boot_clock::time_point boot_clock::now()
{
    if (runtime_clock::paused()) {
        return time_point(runtime_clock::now().time_since_epoch() + simulated_suspension());
    }
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return time_point(std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec));
}

void boot_clock::suspend_for(duration d)
{
    simulated_suspension() += d;
}

} // namespace currantpitch::core
