#include "dispatch/workqueue.h"

namespace currantpitch::dispatch {

using core::errc;
using core::error;

work_queue::slot::~slot()
{
    if (queue_ == nullptr) {
        return;
    }
    const core::time_point now = core::runtime_clock::now();
    queue_->slot_scheduler_.finish(endpoint_, outcome_, now - started_at_, now);
    queue_->process_waiting();
}

work_queue::registration::~registration()
{
    queue.slot_scheduler_.cancel(number);
    queue.waiters_.erase(number);
    if (state->endpoint) {
        // A slot was granted, but the task was cancelled before it took it.
        slot unused(queue, *state->endpoint);
    }
}

core::task<core::result<work_queue::slot>> work_queue::acquire_slot(dispatch_request request)
{
    const core::time_point now = core::runtime_clock::now();
    if (!slot_scheduler_.has_candidate(request)) {
        co_return error{errc::unavailable, "no endpoint"};
    }
    if (slot_scheduler_.waiting() == 0 || !request.excluded.empty()) {
        const std::optional<core::endpoint_id> endpoint = slot_scheduler_.start(request, now);
        if (endpoint) {
            co_return slot(*this, *endpoint);
        }
    }
    const std::optional<ticket> number = slot_scheduler_.enqueue(request);
    if (!number) {
        co_return error{errc::refused, "too many requests are waiting"};
    }
    registration registered{*this, *number, std::make_shared<waiter>(executor_)};
    waiters_.emplace(*number, registered.state);
    process_waiting();
    while (!registered.state->endpoint && !registered.state->expired) {
        co_await registered.state->done.wait_until(request.deadline);
        process_waiting();
    }
    if (!registered.state->endpoint) {
        co_return error{errc::timeout, "no free slot before the deadline"};
    }
    slot acquired(*this, *std::exchange(registered.state->endpoint, std::nullopt));
    co_return acquired;
}

void work_queue::process_waiting()
{
    const core::time_point now = core::runtime_clock::now();
    for (const dispatch_grant& grant : slot_scheduler_.take_grants(now)) {
        const auto found = waiters_.find(grant.number);
        if (found == waiters_.end()) {
            slot_scheduler_.finish(grant.endpoint, work_outcome::abandoned, {}, now);
            continue;
        }
        found->second->endpoint = grant.endpoint;
        found->second->done.notify();
    }
    for (const ticket number : slot_scheduler_.take_expired(now)) {
        const auto found = waiters_.find(number);
        if (found != waiters_.end()) {
            found->second->expired = true;
            found->second->done.notify();
        }
    }
}

} // namespace currantpitch::dispatch
