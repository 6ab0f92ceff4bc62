#include "core/timer.h"

#include <map>

namespace currantpitch::core {

namespace {

struct paused_wait {
    asio::steady_timer* underlying = nullptr;
    bool* expired = nullptr;
};

// Waits that expire through advance, sorted by deadline. Waits with equal deadlines keep the order
// in which they were started.
std::multimap<time_point, paused_wait>& paused_waits()
{
    static std::multimap<time_point, paused_wait> instance;
    return instance;
}

// Keeps a wait in paused_waits() until it ends, including when its task is cancelled.
class paused_registration {
public:
    paused_registration(time_point deadline, paused_wait wait)
        : expired_(wait.expired), position_(paused_waits().emplace(deadline, wait))
    {
    }
    paused_registration(const paused_registration&) = delete;
    paused_registration& operator=(const paused_registration&) = delete;
    ~paused_registration()
    {
        if (!*expired_) {
            paused_waits().erase(position_);
        }
    }

private:
    bool* expired_;
    std::multimap<time_point, paused_wait>::iterator position_;
};

} // namespace

task<bool> timer::wait_until(time_point deadline)
{
    boost::system::error_code failure;
    if (!runtime_clock::paused()) {
        underlying_.expires_at(std::chrono::steady_clock::time_point(deadline.time_since_epoch()));
        co_await underlying_.async_wait(asio::redirect_error(asio::use_awaitable, failure));
        co_return !failure;
    }
    bool expired = false;
    underlying_.expires_at(std::chrono::steady_clock::time_point::max());
    const paused_registration registration(deadline, paused_wait{&underlying_, &expired});
    co_await underlying_.async_wait(asio::redirect_error(asio::use_awaitable, failure));
    co_return expired;
}

task<void> sleep_for(duration d)
{
    timer t(co_await asio::this_coro::executor);
    co_await t.wait_until(runtime_clock::now() + d);
}

void advance(duration d, const std::function<void()>& run_ready)
{
    const time_point target = runtime_clock::now() + d;
    run_ready();
    while (!paused_waits().empty() && paused_waits().begin()->first <= target) {
        const std::multimap<time_point, paused_wait>::iterator first = paused_waits().begin();
        const paused_wait wait = first->second;
        runtime_clock::advance_to(first->first);
        *wait.expired = true;
        paused_waits().erase(first);
        wait.underlying->cancel();
        run_ready();
    }
    runtime_clock::advance_to(target);
    run_ready();
}

} // namespace currantpitch::core
