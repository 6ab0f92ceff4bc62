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
    queue_->decisions_.finish(endpoint_, end_, now - began_, now);
    queue_->settle();
}

work_queue::registration::~registration()
{
    queue.decisions_.withdraw(number);
    queue.waiters_.erase(number);
    if (own->endpoint) {
        // Granted, but the task ended before it took the slot.
        slot unused(queue, *own->endpoint);
    }
}

core::task<core::result<work_queue::slot>> work_queue::take(dispatch_request request)
{
    const core::time_point now = core::runtime_clock::now();
    if (!decisions_.has_candidate(request)) {
        co_return error{errc::unavailable, "no endpoint"};
    }
    if (decisions_.waiting() == 0 || !request.excluded.empty()) {
        const std::optional<core::endpoint_id> endpoint = decisions_.start(request, now);
        if (endpoint) {
            co_return slot(*this, *endpoint);
        }
    }
    const std::optional<ticket> number = decisions_.wait(request);
    if (!number) {
        co_return error{errc::refused, "too many requests wait"};
    }
    registration place{*this, *number, std::make_shared<waiter>(executor_)};
    waiters_.emplace(*number, place.own);
    settle();
    while (!place.own->endpoint && !place.own->expired) {
        co_await place.own->done.wait_until(request.give_up);
        settle();
    }
    if (!place.own->endpoint) {
        co_return error{errc::timeout, "no slot in time"};
    }
    slot taken(*this, *std::exchange(place.own->endpoint, std::nullopt));
    co_return taken;
}

void work_queue::settle()
{
    const core::time_point now = core::runtime_clock::now();
    for (const dispatch_grant& grant : decisions_.take_grants(now)) {
        const auto found = waiters_.find(grant.number);
        if (found == waiters_.end()) {
            decisions_.finish(grant.endpoint, work_end::abandoned, {}, now);
            continue;
        }
        found->second->endpoint = grant.endpoint;
        found->second->done.notify();
    }
    for (const ticket number : decisions_.take_expired(now)) {
        const auto found = waiters_.find(number);
        if (found != waiters_.end()) {
            found->second->expired = true;
            found->second->done.notify();
        }
    }
}

} // namespace currantpitch::dispatch
