#pragma once

#include "core/timer.h"

namespace currantpitch::core {

/// Lets tasks wait for a change of state that another task of the same thread announces.
class notifier {
public:
    explicit notifier(const asio::any_io_executor& executor) : timer_(executor) {}

    /// Waits for notify or the deadline. The caller checks its condition before and after.
    task<void> wait_until(time_point deadline) { co_await timer_.wait_until(deadline); }
    /// Waits for notify without a bound.
    task<void> wait() { co_await timer_.wait_until(time_point::max()); }
    /// Wakes every waiting task.
    void notify() { timer_.cancel(); }

private:
    timer timer_;
};

} // namespace currantpitch::core
