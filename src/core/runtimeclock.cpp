#include "core/runtimeclock.h"

#include <algorithm>

namespace currantpitch::core {

namespace {

struct clock_state {
    bool paused = false;
    runtime_clock::time_point now{std::chrono::hours(1)};
};

clock_state& state()
{
    static clock_state instance;
    return instance;
}

// Calendar time at the epoch of a paused clock. Any fixed date is suitable.
constexpr runtime_clock::wall_time paused_wall_origin{std::chrono::hours(24 * 20000)};

} // namespace

runtime_clock::time_point runtime_clock::now()
{
    if (state().paused) {
        return state().now;
    }
    return time_point(std::chrono::steady_clock::now().time_since_epoch());
}

runtime_clock::wall_time runtime_clock::wall_now()
{
    if (state().paused) {
        return paused_wall_origin + std::chrono::duration_cast<std::chrono::milliseconds>(
                                        state().now.time_since_epoch());
    }
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

bool runtime_clock::paused()
{
    return state().paused;
}

void runtime_clock::pause()
{
    state() = clock_state{.paused = true};
}

void runtime_clock::advance_to(time_point t)
{
    state().now = std::max(state().now, t);
}

void runtime_clock::resume()
{
    state().paused = false;
}

} // namespace currantpitch::core
