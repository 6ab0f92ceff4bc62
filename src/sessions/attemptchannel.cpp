#include "sessions/attemptchannel.h"

namespace currantpitch::sessions {

void attempt_channel::push(attempt_event event)
{
    events_.push_back(std::move(event));
    changed_.notify();
}

core::task<std::optional<attempt_event>> attempt_channel::next(core::time_point deadline)
{
    while (events_.empty()) {
        if (core::runtime_clock::now() >= deadline) {
            co_return std::nullopt;
        }
        co_await changed_.wait_until(deadline);
    }
    attempt_event first = std::move(events_.front());
    events_.pop_front();
    co_return std::optional<attempt_event>(std::move(first));
}

namespace {

work_end end_of(const verdict& v)
{
    if (v.kind == verdict_kind::ended) {
        return *v.end;
    }
    work_end how;
    how.number = v.number;
    how.state = end_state::failed;
    how.detail = "the agent was replaced";
    if (v.kind == verdict_kind::never_started) {
        how.state = end_state::refused;
        how.detail = "the session was lost before the work started";
    }
    return how;
}

} // namespace

core::task<std::optional<work_end>> await_end(std::shared_ptr<attempt_channel> channel,
                                              core::time_point deadline)
{
    while (true) {
        const std::optional<attempt_event> event = co_await channel->next(deadline);
        if (!event) {
            co_return std::nullopt;
        }
        if (const work_end* how = std::get_if<work_end>(&*event)) {
            co_return *how;
        }
        const verdict* const v = std::get_if<verdict>(&*event);
        if (v != nullptr && v->kind != verdict_kind::fenced) {
            co_return end_of(*v);
        }
    }
}

} // namespace currantpitch::sessions
