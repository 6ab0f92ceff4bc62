#pragma once

#include "core/error.h"
#include "core/runtimeclock.h"
#include "core/task.h"

#include <functional>
#include <variant>

namespace currantpitch::core {

/// A timer on the runtime's clock. With the clock paused it ends only through advance.
class timer {
public:
    explicit timer(const asio::any_io_executor& executor) : underlying_(executor) {}

    /// Waits until the deadline. False when cancelled before.
    task<bool> wait_until(time_point deadline);
    /// Ends every wait on this timer.
    void cancel() { underlying_.cancel(); }

private:
    asio::steady_timer underlying_;
};

/// Suspends the calling task for the given time.
task<void> sleep_for(duration d);

/// Moves a paused clock forward and ends the timers that fall due, each at its own time. After
/// each, run_ready must run all tasks that can run. Tests only.
void advance(duration d, const std::function<void()>& run_ready);

/// Result of the operation, or errc::timeout when the deadline passes first.
template <class T>
task<result<T>> with_deadline(task<result<T>> operation, time_point deadline)
{
    using namespace asio::experimental::awaitable_operators;
    if (deadline == time_point::max()) {
        co_return co_await std::move(operation);
    }
    timer limit(co_await asio::this_coro::executor);
    std::variant<result<T>, bool> first =
        co_await (std::move(operation) || limit.wait_until(deadline));
    if (first.index() == 0) {
        co_return std::get<0>(std::move(first));
    }
    co_return error{errc::timeout, "no answer within the deadline"};
}

} // namespace currantpitch::core
