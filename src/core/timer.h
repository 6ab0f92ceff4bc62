#pragma once

#include "core/error.h"
#include "core/runtimeclock.h"
#include "core/task.h"

#include <functional>
#include <variant>

namespace currantpitch::core {

/// A timer on runtime_clock. While the clock is paused it expires only through advance.
class timer {
public:
    explicit timer(const asio::any_io_executor& executor) : underlying_(executor) {}

    /// Waits until the deadline. Returns false if the wait was cancelled.
    task<bool> wait_until(time_point deadline);
    /// Cancels all waits on this timer.
    void cancel() { underlying_.cancel(); }

private:
    asio::steady_timer underlying_;
};

/// Suspends the calling task for the given time.
task<void> sleep_for(duration d);

/// Moves a paused clock forward and expires the timers that become due, each at its own deadline.
/// Calls run_ready first, after each timer and at the end; it must run all tasks that are ready.
/// Tests only.
void advance(duration d, const std::function<void()>& run_ready);

/// Returns the result of the operation, or errc::timeout when the deadline passes first.
template <class T>
task<result<T>> with_deadline(task<result<T>> operation, time_point deadline)
{
    using namespace asio::experimental::awaitable_operators;
    if (deadline == time_point::max()) {
        co_return co_await std::move(operation);
    }
    timer deadline_timer(co_await asio::this_coro::executor);
    std::variant<result<T>, bool> first =
        co_await (std::move(operation) || deadline_timer.wait_until(deadline));
    if (first.index() == 0) {
        co_return std::get<0>(std::move(first));
    }
    co_return error{errc::timeout, "no answer within the deadline"};
}

} // namespace currantpitch::core
