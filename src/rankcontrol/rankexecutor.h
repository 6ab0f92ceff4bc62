#pragma once

#include "core/counters.h"
#include "core/eventlog.h"
#include "core/notifier.h"
#include "rankcontrol/rankcontrolconstants.h"
#include "rankcontrol/rankport.h"

#include <concepts>

namespace currantpitch::rankcontrol {

/// Result of an order and the engine's state after it; empty where the engine did not answer.
struct executed_order {
    std::optional<order_result> result;
    std::optional<rank_state> state;
};

/// Whether only this process orders the engine. The agent may order it too while the leader reaches
/// it directly.
enum class engine_use { sole, shared };

/// Serializes the calls to one engine, so that states arrive in chronological order.
template <rank_port Port>
class rank_executor {
public:
    rank_executor(const core::asio::any_io_executor& executor, Port& port,
                  engine_use use = engine_use::sole)
        : port_(port), use_(use), call_finished_(executor)
    {
    }

    core::task<core::result<rank_state>> state();
    core::task<core::result<cumulative_selection_counts>> selection_counts(std::size_t layers);
    core::task<core::result<std::vector<std::vector<expert>>>> held_experts();
    /// Executes an order that the engine may not answer. The order is sent again, up to
    /// max_order_attempts times, until the engine answers it or its state shows the result, but
    /// only while obeys(origin) holds. An attempt that was not answered may be executed later.
    template <std::predicate<const order_origin&> Obeys>
    core::task<executed_order> execute(engine_order order, order_origin origin, Obeys obeys);

private:
    class call_guard {
    public:
        explicit call_guard(rank_executor& e) : executor_(e) { executor_.busy_ = true; }
        call_guard(const call_guard&) = delete;
        call_guard& operator=(const call_guard&) = delete;
        ~call_guard()
        {
            executor_.busy_ = false;
            executor_.call_finished_.notify();
        }

    private:
        rank_executor& executor_;
    };

    core::task<void> wait_until_free();
    static core::time_point call_deadline()
    {
        return core::runtime_clock::now() + engine_call_timeout;
    }

    Port& port_;
    engine_use use_;
    core::notifier call_finished_;
    bool busy_ = false;
};

template <rank_port Port>
core::task<void> rank_executor<Port>::wait_until_free()
{
    while (busy_) {
        co_await call_finished_.wait();
    }
}

template <rank_port Port>
core::task<core::result<rank_state>> rank_executor<Port>::state()
{
    co_await wait_until_free();
    const call_guard guard(*this);
    co_return co_await port_.state(call_deadline());
}

template <rank_port Port>
core::task<core::result<cumulative_selection_counts>>
rank_executor<Port>::selection_counts(std::size_t layers)
{
    co_await wait_until_free();
    const call_guard guard(*this);
    co_return co_await port_.selection_counts(layers, call_deadline());
}

template <rank_port Port>
core::task<core::result<std::vector<std::vector<expert>>>> rank_executor<Port>::held_experts()
{
    co_await wait_until_free();
    const call_guard guard(*this);
    co_return co_await port_.held_experts(call_deadline());
}

template <rank_port Port>
template <std::predicate<const order_origin&> Obeys>
core::task<executed_order> rank_executor<Port>::execute(engine_order order, order_origin origin,
                                                        Obeys obeys)
{
    co_await wait_until_free();
    const call_guard guard(*this);
    executed_order executed;
    bool unanswered = false;
    bool withdrawn = false;
    bool unarmed_before = false;
    int attempts = 0;
    while (attempts < max_order_attempts && !executed.result) {
        withdrawn = !obeys(origin);
        if (withdrawn) {
            break;
        }
        ++attempts;
        const core::result<order_result> answer = co_await port_.order(order, call_deadline());
        if (answer && answer.value() != order_result::refused) {
            executed.result = answer.value();
            break;
        }
        const core::result<rank_state> state = co_await port_.state(call_deadline());
        // A load order that was accepted without an answer is refused when it is sent again. So is
        // one to an armed engine, and a leader may arm and disarm it directly in the meantime.
        const bool unarmed = state && !state.value().armed;
        const bool repeated_load = unanswered && answer && order.kind == order_kind::load;
        const bool accepted_before =
            repeated_load && unarmed && unarmed_before && use_ == engine_use::sole;
        unarmed_before = unarmed;
        if (state && (fulfilled(order, state.value()) || accepted_before)) {
            executed.result = order_result::already;
        }
        else if (repeated_load && use_ == engine_use::shared) {
            // The state will show the result when the experts are copied.
            break;
        }
        else if (answer) {
            executed.result = order_result::refused;
        }
        else {
            unanswered = true;
            core::counter_for("engine_orders_unanswered_total").add();
        }
    }
    if (attempts > 0) {
        const core::result<rank_state> after = co_await port_.state(call_deadline());
        executed.state = after ? std::optional<rank_state>(after.value()) : std::nullopt;
    }
    core::log_event("engine_order")
        .field("order", to_string(order.kind))
        .field("term", origin.id.term)
        .field("number", origin.id.number)
        .field("epoch", order.epoch)
        .field("version", order.version)
        .field("step", order.step)
        .field("attempts", attempts)
        .field("result", withdrawn                                    ? "withdrawn"
                         : !executed.result                           ? "unknown"
                         : *executed.result == order_result::accepted ? "accepted"
                         : *executed.result == order_result::already  ? "already"
                                                                      : "refused")
        .field("at_step", executed.state ? executed.state->step.value : 0);
    co_return executed;
}

} // namespace currantpitch::rankcontrol
