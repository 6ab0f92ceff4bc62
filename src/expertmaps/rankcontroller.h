#pragma once

#include "core/eventlog.h"
#include "core/notifier.h"
#include "expertmaps/expertmapsconstants.h"
#include "expertmaps/fenceclaim.h"
#include "expertmaps/groupmembers.h"
#include "expertmaps/switchparticipant.h"

#include <optional>

namespace currantpitch::expertmaps {

/// State of one rank in its agent: the last report of the engine and the rank's promises to
/// leaders. Sends orders to the engine one at a time.
template <objectstore::store_client Store, rank_engine Engine>
class rank_controller {
public:
    rank_controller(const core::asio::any_io_executor& executor, Store& store, Engine& engine)
        : store_(store), engine_(engine), order_done_(executor)
    {
    }

    void set_rank(std::uint32_t rank) { participant_.set_rank(rank); }
    /// Applies a status report of the engine. Returns true when its incarnation has changed.
    bool on_status(const rank_status& status, std::uint32_t rank, const core::service_id& group);
    /// Executes an order after the previous orders have completed.
    core::task<rank_answer> execute_order(rank_order order, core::service_id group);

    const rank_state& state() const { return participant_.state(); }
    const rank_status& status() const { return status_; }
    /// The last map that the engine has confirmed as staged.
    const std::optional<expert_map>& staged_map() const { return staged_map_; }

private:
    core::task<void> recover_promised_fence(const core::service_id& group);
    core::task<rank_answer> apply(rank_order order);

    Store& store_;
    Engine& engine_;
    switch_participant participant_{0, core::map_version{}, true};
    bool fence_known_ = false;
    rank_status status_;
    std::optional<expert_map> active_map_;
    std::optional<expert_map> staged_map_;
    bool order_in_progress_ = false;
    core::notifier order_done_;
};

template <objectstore::store_client Store, rank_engine Engine>
bool rank_controller<Store, Engine>::on_status(const rank_status& status, std::uint32_t rank,
                                               const core::service_id& group)
{
    const bool first_status = status_.incarnation == core::incarnation{};
    const bool replaced = !first_status && status.incarnation != status_.incarnation;
    status_ = status;
    if (first_status || replaced) {
        const core::fence promised = participant_.state().promised;
        participant_ = switch_participant(rank, status.active, status.fresh);
        rank_state restored = participant_.state();
        restored.prepared = status.prepared;
        restored.committed = status.committed;
        restored.promised = promised;
        participant_.restore(restored);
    }
    if (participant_.state().active != status.active && !status.fresh) {
        participant_.begin(status.step);
        if (staged_map_ && staged_map_->version == status.active) {
            active_map_ = staged_map_;
            core::log_event("map_active")
                .field("group", group)
                .field("version", status.active)
                .field("step", status.step);
        }
    }
    return replaced;
}

// A restarted agent has lost the fence that it promised. The store has the highest claimed fence.
template <objectstore::store_client Store, rank_engine Engine>
core::task<void>
rank_controller<Store, Engine>::recover_promised_fence(const core::service_id& group)
{
    const core::result<core::fence> highest = co_await read_fence(store_, group.str());
    fence_known_ = highest.has_value();
    if (highest) {
        participant_.promise(highest.value());
    }
}

template <objectstore::store_client Store, rank_engine Engine>
core::task<rank_answer> rank_controller<Store, Engine>::apply(rank_order order)
{
    const rank_state before = participant_.state();
    rank_answer answer = participant_.on_order(order, status_.step);
    if (!answer.accepted || order.kind == order_kind::query) {
        co_return answer;
    }
    const core::time_point deadline = core::runtime_clock::now() + prepare_timeout;
    const core::result<void> confirmation = co_await engine_.order(order, deadline);
    if (!confirmation) {
        answer.accepted = false;
        answer.reason = confirmation.error().detail;
        const bool not_executed = confirmation.error().code == core::errc::refused ||
                                  confirmation.error().code == core::errc::unavailable;
        if (not_executed) {
            rank_state restored = before;
            restored.promised = participant_.state().promised;
            participant_.restore(restored);
        }
    }
    else if (order.kind == order_kind::stage) {
        participant_.on_staged(order.version);
        staged_map_ = order.map;
    }
    co_return answer;
}

template <objectstore::store_client Store, rank_engine Engine>
core::task<rank_answer> rank_controller<Store, Engine>::execute_order(rank_order order,
                                                                      core::service_id group)
{
    while (order_in_progress_) {
        co_await order_done_.wait();
    }
    order_in_progress_ = true;
    if (!fence_known_) {
        co_await recover_promised_fence(group);
    }
    const order_kind kind = order.kind;
    rank_answer answer;
    answer.rank = participant_.rank();
    answer.kind = kind;
    answer.proposal = order.proposal;
    answer.reason = "the highest fence is not known yet";
    if (fence_known_) {
        answer = co_await apply(std::move(order));
        answer.state = participant_.state();
        answer.state.step = status_.step;
        if (kind == order_kind::query) {
            answer.map = active_map_;
        }
    }
    order_in_progress_ = false;
    order_done_.notify();
    co_return answer;
}

} // namespace currantpitch::expertmaps
