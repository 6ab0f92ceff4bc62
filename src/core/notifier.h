#pragma once

#include "core/timer.h"

#include <list>
#include <memory>

namespace currantpitch::core {

/// Lets tasks wait for a state change that another task on the same thread signals.
class notifier {
public:
    explicit notifier(const asio::any_io_executor& executor)
        : executor_(executor), timers_(std::make_shared<std::list<timer>>())
    {
    }
    notifier(const notifier&) = delete;
    notifier& operator=(const notifier&) = delete;

    /// Waits for notify or the deadline. The caller checks its condition before and after the wait.
    task<void> wait_until(time_point deadline)
    {
        const waiter registration(*this);
        co_await registration.position->wait_until(deadline);
    }
    /// Waits for notify without a deadline.
    task<void> wait() { return wait_until(time_point::max()); }
    /// Wakes every waiting task.
    void notify()
    {
        for (timer& t : *timers_) {
            t.cancel();
        }
    }

private:
    /// Owns the timer of one waiting task. With a shared timer, setting the expiry for one task
    /// would wake the others.
    struct waiter {
        explicit waiter(notifier& n) : timers(n.timers_)
        {
            timers->emplace_back(n.executor_);
            position = std::prev(timers->end());
        }
        waiter(const waiter&) = delete;
        waiter& operator=(const waiter&) = delete;
        ~waiter() { timers->erase(position); }

        /// Shared because a task may be destroyed after the notifier.
        std::shared_ptr<std::list<timer>> timers;
        std::list<timer>::iterator position;
    };

    asio::any_io_executor executor_;
    std::shared_ptr<std::list<timer>> timers_;
};

} // namespace currantpitch::core
