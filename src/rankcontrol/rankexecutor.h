#pragma once

#include "core/counters.h"
#include "core/eventlog.h"
#include "core/notifier.h"
#include "rankcontrol/rankcontrolconstants.h"
#include "rankcontrol/rankport.h"

namespace currantpitch::rankcontrol {

/// What became of an order, and the engine's state after it.
struct executed_order {
    std::optional<order_result> result;
    std::optional<rank_state> state;
};

/// Makes the calls to one engine, one at a time, so that states come in the order of their time.
template <rank_port Port>
class rank_executor {
public:
    rank_executor(const core::asio::any_io_executor& executor, Port& port)
        : port_(port), free_(executor)
    {
    }

    core::task<core::result<rank_state>> state();
    core::task<core::result<chosen_experts>> chosen(std::size_t layers);
    core::task<core::result<std::vector<std::vector<expert>>>> held();
    /// Carries out an order that the engine may not answer: it is sent again until it is answered
    /// or the engine's state shows what became of it. An order that was not answered does no harm
    /// when it is carried out late, since the same was asked for again.
    core::task<executed_order> execute(engine_order order);

private:
    class turn {
    public:
        explicit turn(rank_executor& e) : executor_(e) { executor_.busy_ = true; }
        turn(const turn&) = delete;
        turn& operator=(const turn&) = delete;
        ~turn()
        {
            executor_.busy_ = false;
            executor_.free_.notify();
        }

    private:
        rank_executor& executor_;
    };

    core::task<void> wait_for_turn();
    static core::time_point soon() { return core::runtime_clock::now() + engine_call_timeout; }

    Port& port_;
    core::notifier free_;
    bool busy_ = false;
};

template <rank_port Port>
core::task<void> rank_executor<Port>::wait_for_turn()
{
    while (busy_) {
        co_await free_.wait();
    }
}

template <rank_port Port>
core::task<core::result<rank_state>> rank_executor<Port>::state()
{
    co_await wait_for_turn();
    const turn own(*this);
    co_return co_await port_.state(soon());
}

template <rank_port Port>
core::task<core::result<chosen_experts>> rank_executor<Port>::chosen(std::size_t layers)
{
    co_await wait_for_turn();
    const turn own(*this);
    co_return co_await port_.chosen(layers, soon());
}

template <rank_port Port>
core::task<core::result<std::vector<std::vector<expert>>>> rank_executor<Port>::held()
{
    co_await wait_for_turn();
    const turn own(*this);
    co_return co_await port_.held(soon());
}

template <rank_port Port>
core::task<executed_order> rank_executor<Port>::execute(engine_order order)
{
    co_await wait_for_turn();
    const turn own(*this);
    executed_order done;
    bool unanswered = false;
    for (int i = 0; i < order_tries && !done.result; ++i) {
        const core::result<order_result> answer = co_await port_.order(order, soon());
        if (answer && answer.value() != order_result::refused) {
            done.result = answer.value();
            break;
        }
        const core::result<rank_state> state = co_await port_.state(soon());
        // A load that was not answered before is refused the second time when it was taken.
        const bool taken_before =
            unanswered && answer && order.kind == order_kind::load && state && !state.value().armed;
        if (state && (fulfilled(order, state.value()) || taken_before)) {
            done.result = order_result::already;
        }
        else if (answer) {
            done.result = order_result::refused;
        }
        else {
            unanswered = true;
            core::counter_for("engine_orders_unanswered_total").add();
        }
    }
    const core::result<rank_state> after = co_await port_.state(soon());
    if (after) {
        done.state = after.value();
    }
    core::log_event("engine_order")
        .field("order", to_string(order.kind))
        .field("epoch", order.epoch)
        .field("version", order.version)
        .field("step", order.step)
        .field("result", !done.result                             ? "unknown"
                         : *done.result == order_result::accepted ? "accepted"
                         : *done.result == order_result::already  ? "already"
                                                                  : "refused")
        .field("at_step", done.state ? done.state->step.value : 0);
    co_return done;
}

} // namespace currantpitch::rankcontrol
