#include "sessions/attemptchannel.h"

namespace currantpitch::sessions {

void attempt_channel::push(attempt_event event)
{
    events_.push_back(std::move(event));
    news_.notify();
}

core::task<std::optional<attempt_event>> attempt_channel::next(core::time_point deadline)
{
    while (events_.empty()) {
        if (core::runtime_clock::now() >= deadline) {
            co_return std::nullopt;
        }
        co_await news_.wait_until(deadline);
    }
    attempt_event first = std::move(events_.front());
    events_.pop_front();
    co_return std::optional<attempt_event>(std::move(first));
}

} // namespace currantpitch::sessions
