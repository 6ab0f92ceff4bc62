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

work_end end_of(const attempt_conclusion& conclusion)
{
    if (conclusion.kind == conclusion_kind::ended) {
        return *conclusion.end;
    }
    work_end end;
    end.number = conclusion.number;
    end.state = end_state::failed;
    end.detail = "the agent was replaced";
    if (conclusion.kind == conclusion_kind::never_started) {
        end.state = end_state::refused;
        end.detail = "the session was lost before the work started";
    }
    return end;
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
        if (const work_end* end = std::get_if<work_end>(&*event)) {
            co_return *end;
        }
        const attempt_conclusion* const conclusion = std::get_if<attempt_conclusion>(&*event);
        if (conclusion != nullptr && conclusion->kind != conclusion_kind::fenced) {
            co_return end_of(*conclusion);
        }
    }
}

} // namespace currantpitch::sessions
