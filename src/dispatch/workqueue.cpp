#include "dispatch/workqueue.h"

#include "backpressure/backpressureconstants.h"

namespace currantpitch::dispatch {

using core::errc;
using core::error;

namespace {

error limited_error()
{
    return {errc::limited, "no endpoint accepts a request before the deadline"};
}

} // namespace

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
    if (!slot_scheduler_.has_candidate(request)) {
        co_return error{errc::unavailable, "no endpoint"};
    }
    if (slot_scheduler_.waiting() == 0 || !request.excluded.empty()) {
        const std::optional<core::endpoint_id> endpoint = co_await start_now(request);
        if (endpoint) {
            co_return slot(*this, *endpoint);
        }
    }
    if (slot_scheduler_.earliest_start(request, core::runtime_clock::now()) > request.deadline) {
        co_return limited_error();
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
    if (!registered.state->endpoint && core::runtime_clock::now() < request.deadline) {
        co_return limited_error();
    }
    if (!registered.state->endpoint) {
        co_return error{errc::timeout, "no free slot before the deadline"};
    }
    slot acquired(*this, *std::exchange(registered.state->endpoint, std::nullopt));
    co_return acquired;
}

core::task<std::optional<core::endpoint_id>> work_queue::start_now(dispatch_request request)
{
    for (int requested = 0; requested < backpressure::max_permit_requests;) {
        const core::time_point now = core::runtime_clock::now();
        const std::optional<core::endpoint_id> endpoint = slot_scheduler_.preferred(request, now);
        if (!endpoint || slot_scheduler_.start_at(*endpoint, now)) {
            co_return endpoint;
        }
        const core::time_point give_up_at =
            std::min(now + backpressure::permit_wait, request.deadline);
        slot_scheduler_.request_permit(*endpoint, now);
        requested += slot_scheduler_.refused_at_once(*endpoint, now) ? 0 : 1;
        while (slot_scheduler_.awaits_permit(*endpoint, core::runtime_clock::now()) &&
               core::runtime_clock::now() < give_up_at) {
            co_await permit_change_.wait_until(give_up_at);
        }
        if (slot_scheduler_.start_at(*endpoint, core::runtime_clock::now())) {
            co_return endpoint;
        }
    }
    co_return slot_scheduler_.start(request, core::runtime_clock::now());
}

void work_queue::on_permit_change()
{
    permit_change_.notify();
    process_waiting();
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
