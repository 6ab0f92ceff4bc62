#pragma once

#include "core/error.h"
#include "core/notifier.h"
#include "dispatch/pacecontroller.h"
#include "dispatch/scheduler.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace currantpitch::dispatch {

/// Lets tasks wait for their turn at the endpoints of one service.
class work_queue {
public:
    work_queue(const core::asio::any_io_executor& executor, scheduler decisions)
        : executor_(executor), decisions_(std::move(decisions))
    {
    }
    work_queue(const work_queue&) = delete;
    work_queue& operator=(const work_queue&) = delete;

    /// A slot at an endpoint. Given back at the end of its life, as abandoned unless told else.
    class slot {
    public:
        slot(work_queue& queue, core::endpoint_id endpoint)
            : queue_(&queue), endpoint_(std::move(endpoint)), began_(core::runtime_clock::now())
        {
        }
        slot(slot&& other) noexcept
            : queue_(std::exchange(other.queue_, nullptr)), endpoint_(std::move(other.endpoint_)),
              began_(other.began_), end_(other.end_)
        {
        }
        slot& operator=(slot&&) = delete;
        ~slot();

        const core::endpoint_id& endpoint() const { return endpoint_; }
        core::time_point began() const { return began_; }
        void set_end(work_end e) { end_ = e; }

    private:
        work_queue* queue_;
        core::endpoint_id endpoint_;
        core::time_point began_;
        work_end end_ = work_end::abandoned;
    };

    /// A slot for the request, at once or after waiting. errc::unavailable when no endpoint can
    /// run it, errc::refused when too many wait, errc::timeout when waiting was given up.
    core::task<core::result<slot>> take(dispatch_request request);

    scheduler& decisions() { return decisions_; }
    const scheduler& decisions() const { return decisions_; }
    /// Starts whoever may start and ends the waits whose time is up.
    void settle();

private:
    struct waiter {
        explicit waiter(const core::asio::any_io_executor& e) : done(e) {}
        core::notifier done;
        std::optional<core::endpoint_id> endpoint;
        bool expired = false;
    };
    /// Takes a waiting request out when its task ends first.
    struct registration {
        work_queue& queue;
        ticket number;
        std::shared_ptr<waiter> own;
        ~registration();
    };

    core::asio::any_io_executor executor_;
    scheduler decisions_;
    std::unordered_map<ticket, std::shared_ptr<waiter>> waiters_;
};

} // namespace currantpitch::dispatch
