#pragma once

#include "core/timer.h"

#include <list>
#include <memory>

namespace currantpitch::core {

/// Lets tasks wait for a change of state that another task of the same thread announces.
class notifier {
public:
    explicit notifier(const asio::any_io_executor& executor)
        : executor_(executor), waiting_(std::make_shared<std::list<timer>>())
    {
    }
    notifier(const notifier&) = delete;
    notifier& operator=(const notifier&) = delete;

    /// Waits for notify or the deadline. The caller checks its condition before and after.
    task<void> wait_until(time_point deadline)
    {
        const waiter own(*this);
        co_await own.place->wait_until(deadline);
    }
    /// Waits for notify without a bound.
    task<void> wait() { return wait_until(time_point::max()); }
    /// Wakes every waiting task.
    void notify()
    {
        for (timer& t : *waiting_) {
            t.cancel();
        }
    }

private:
    /// A timer for each waiting task: setting the time of a shared one would wake the others.
    struct waiter {
        explicit waiter(notifier& n) : list(n.waiting_)
        {
            list->emplace_back(n.executor_);
            place = std::prev(list->end());
        }
        waiter(const waiter&) = delete;
        waiter& operator=(const waiter&) = delete;
        ~waiter() { list->erase(place); }

        /// Shared, since a task may be taken down after the notifier.
        std::shared_ptr<std::list<timer>> list;
        std::list<timer>::iterator place;
    };

    asio::any_io_executor executor_;
    std::shared_ptr<std::list<timer>> waiting_;
};

} // namespace currantpitch::core
