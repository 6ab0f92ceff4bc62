#pragma once

#include "core/error.h"
#include "core/notifier.h"
#include "dispatch/concurrencycontroller.h"
#include "dispatch/scheduler.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace currantpitch::dispatch {

/// Queues requests until they get a slot at an endpoint of one service.
class work_queue {
public:
    work_queue(const core::asio::any_io_executor& executor, scheduler slot_scheduler)
        : executor_(executor), slot_scheduler_(std::move(slot_scheduler)), permit_change_(executor)
    {
    }
    work_queue(const work_queue&) = delete;
    work_queue& operator=(const work_queue&) = delete;

    /// A slot at an endpoint. The destructor releases it, with the outcome "abandoned" unless
    /// another one was set.
    class slot {
    public:
        slot(work_queue& queue, core::endpoint_id endpoint, int priority)
            : queue_(&queue), endpoint_(std::move(endpoint)), priority_(priority),
              started_at_(core::runtime_clock::now()),
              sample_(queue.slot_scheduler_.begin_sample(endpoint_, started_at_))
        {
        }
        slot(slot&& other) noexcept
            : queue_(std::exchange(other.queue_, nullptr)), endpoint_(std::move(other.endpoint_)),
              priority_(other.priority_), started_at_(other.started_at_),
              sample_(std::move(other.sample_)), responded_at_(other.responded_at_),
              outcome_(other.outcome_)
        {
        }
        slot& operator=(slot&&) = delete;
        ~slot();

        const core::endpoint_id& endpoint() const { return endpoint_; }
        core::time_point started_at() const { return started_at_; }
        void set_outcome(work_outcome o) { outcome_ = o; }
        /// Records the time of the answer, or of the first event of a stream.
        void set_responded(core::time_point now) { responded_at_ = responded_at_.value_or(now); }

    private:
        work_queue* queue_;
        core::endpoint_id endpoint_;
        int priority_;
        core::time_point started_at_;
        capacity::started_request sample_;
        std::optional<core::time_point> responded_at_;
        work_outcome outcome_ = work_outcome::abandoned;
    };

    /// Acquires a slot for the request, immediately or after waiting. Fails with errc::unavailable
    /// if no endpoint can run it, errc::limited if all endpoints limit their requests and none
    /// accepts it before the deadline, errc::refused if too many requests are waiting,
    /// errc::reserved if slots are left to other priorities and none remains before the deadline,
    /// and errc::timeout if the deadline passed.
    core::task<core::result<slot>> acquire_slot(dispatch_request request);

    scheduler& slot_scheduler() { return slot_scheduler_; }
    const scheduler& slot_scheduler() const { return slot_scheduler_; }
    /// Starts the waiting requests that have a free slot and ends those whose deadline has passed.
    void process_waiting();
    /// Continues the requests that wait for a permit. Called when a permit has been granted or
    /// refused, and when one starts.
    void on_permit_change();

private:
    struct waiter {
        explicit waiter(const core::asio::any_io_executor& e) : done(e) {}
        core::notifier done;
        std::optional<core::endpoint_id> endpoint;
        int priority = 0;
        bool expired = false;
    };
    /// Removes a waiting request when its task ends, also by cancellation.
    struct registration {
        work_queue& queue;
        ticket number;
        std::shared_ptr<waiter> state;
        ~registration();
    };

    /// Starts the request without queueing it, if necessary after waiting shortly for a permit.
    core::task<std::optional<core::endpoint_id>> start_now(dispatch_request request);

    core::asio::any_io_executor executor_;
    scheduler slot_scheduler_;
    core::notifier permit_change_;
    std::unordered_map<ticket, std::shared_ptr<waiter>> waiters_;
};

} // namespace currantpitch::dispatch
