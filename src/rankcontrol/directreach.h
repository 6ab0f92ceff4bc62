#pragma once

#include "core/counters.h"
#include "rankcontrol/agentcontext.h"
#include "rankcontrol/layoutswitch.h"
#include "rankcontrol/rankexecutor.h"

#include <map>
#include <memory>
#include <set>
#include <utility>

namespace currantpitch::rankcontrol {

/// What a leader's direct calls to engines are for.
template <class L>
concept direct_caller = requires(L& l, rank_state state, std::vector<std::vector<expert>> held,
                                 addressed_order order, executed_order executed)
{
    /// Whether the leader needs the list of the experts that the rank holds.
    {
        l.lacks_experts(state)
        } -> std::same_as<bool>;
    /// Takes a state that was read from the engine. Returns whether the leader wants it: the rank
    /// belongs to the group and no agent serves it.
    {
        l.on_direct_state(state, held)
        } -> std::same_as<bool>;
    l.on_direct_answer(order, executed);
    /// Whether a step may be held, so that states are needed at the usual interval.
    {
        l.switch_under_way()
        } -> std::same_as<bool>;
};

/// The engines that a leader reaches directly, since their agents are silent: one task for each.
/// The agent may order the engine at the same time; layout_switch allows for that.
template <rank_port Port, class Leader>
class direct_reach {
public:
    using host_address = boost::asio::ip::address;

    direct_reach(agent_context& context, Leader& leader) : context_(context), leader_(leader) {}

    /// Begins to call the engine on that host, unless it is called already or was found to belong
    /// to another group recently.
    void begin(const settings::address& engine, std::string_view reason, core::duration silence);
    /// Ends the calls to the engine on that host. Returns the rank that it had.
    std::optional<std::uint32_t> end(const host_address& host, std::string_view reason);
    void end_all(std::string_view reason);
    /// Takes the order for the engine if the rank is reached directly. An earlier order to it is
    /// given up.
    bool take(const addressed_order& order);
    bool reaches(const host_address& host) const { return engines_.contains(host); }
    bool reaches(std::uint32_t rank) const
    {
        return std::any_of(engines_.begin(), engines_.end(),
                           [rank](const auto& e) { return e.second->rank == rank; });
    }

private:
    struct engine {
        engine(const core::asio::any_io_executor& executor, const settings::address& a)
            : address(a), port(executor, a), calls(executor, port, engine_use::shared),
              wake(executor)
        {
        }

        settings::address address;
        Port port;
        rank_executor<Port> calls;
        core::notifier wake;
        std::optional<std::uint32_t> rank;
        std::optional<addressed_order> order;
        bool ended = false;
    };

    /// Reads the engine's state and executes the orders to it until its agent is back.
    core::task<void> call(std::shared_ptr<engine> e);
    core::task<void> execute(std::shared_ptr<engine> e);
    /// Reads the state and, if the leader lacks it, the list of the held experts.
    core::task<void> read(std::shared_ptr<engine> e);

    agent_context& context_;
    Leader& leader_;
    std::map<host_address, std::shared_ptr<engine>> engines_;
    /// When an engine was found to belong to another group or to be served by another agent.
    std::map<host_address, core::time_point> excluded_at_;
};

template <rank_port Port, class Leader>
void direct_reach<Port, Leader>::begin(const settings::address& address, std::string_view reason,
                                       core::duration silence)
{
    // Not a constraint of the class, as the leader has it as a member.
    static_assert(direct_caller<Leader>);
    const auto excluded = excluded_at_.find(address.address());
    const bool recently_excluded =
        excluded != excluded_at_.end() &&
        core::runtime_clock::now() - excluded->second < direct_exclusion_time;
    if (recently_excluded || reaches(address.address())) {
        return;
    }
    core::counter_for("ranks_reached_directly_total").add();
    core::log_event("rank_reached_directly")
        .field("group", context_.group)
        .field("engine", address.address().to_string())
        .field("phase", reason)
        .field("silent_ms", core::to_milliseconds(silence));
    const std::shared_ptr<engine> e = std::make_shared<engine>(context_.executor, address);
    engines_[address.address()] = e;
    core::spawn_contained(context_.executor, "direct_engine", call(e));
}

template <rank_port Port, class Leader>
std::optional<std::uint32_t> direct_reach<Port, Leader>::end(const host_address& host,
                                                             std::string_view reason)
{
    const auto found = engines_.find(host);
    if (found == engines_.end()) {
        return std::nullopt;
    }
    const std::shared_ptr<engine> e = found->second;
    engines_.erase(found);
    e->ended = true;
    e->wake.notify();
    core::log_event("rank_direct_ends")
        .field("group", context_.group)
        .field("engine", host.to_string())
        .field("reason", reason);
    return e->rank;
}

template <rank_port Port, class Leader>
void direct_reach<Port, Leader>::end_all(std::string_view reason)
{
    while (!engines_.empty()) {
        end(engines_.begin()->first, reason);
    }
    excluded_at_.clear();
}

template <rank_port Port, class Leader>
bool direct_reach<Port, Leader>::take(const addressed_order& order)
{
    for (const auto& [host, e] : engines_) {
        if (e->rank == order.rank) {
            e->order = order;
            e->wake.notify();
            return true;
        }
    }
    return false;
}

template <rank_port Port, class Leader>
core::task<void> direct_reach<Port, Leader>::call(std::shared_ptr<engine> e)
{
    while (!e->ended && !context_.stopping) {
        if (e->order) {
            co_await execute(e);
        }
        else {
            co_await read(e);
        }
        if (e->ended || e->order) {
            continue;
        }
        // Many agents are silent when all hosts start, and a leader's host may have 0.15 of a core.
        const core::duration interval = std::max<core::duration>(
            leader_.switch_under_way() ? status_interval : idle_direct_interval,
            engines_.size() * direct_read_spacing);
        co_await e->wake.wait_until(core::runtime_clock::now() + interval);
    }
}

template <rank_port Port, class Leader>
core::task<void> direct_reach<Port, Leader>::execute(std::shared_ptr<engine> e)
{
    const addressed_order order = std::move(*e->order);
    e->order.reset();
    core::counter_for("direct_orders_total").add();
    const order_origin origin{context_.group, order.id};
    engine* const current = e.get();
    const auto in_force = [this, current](const order_origin& o) {
        return context_.obeys(o) && !current->ended && !current->order;
    };
    const executed_order executed = co_await e->calls.execute(order.order, origin, in_force);
    if (!e->ended) {
        leader_.on_direct_answer(order, executed);
    }
}

template <rank_port Port, class Leader>
core::task<void> direct_reach<Port, Leader>::read(std::shared_ptr<engine> e)
{
    const core::result<rank_state> state = co_await e->calls.state();
    if (!state || e->ended) {
        co_return;
    }
    std::vector<std::vector<expert>> held;
    if (leader_.lacks_experts(state.value())) {
        const core::result<std::vector<std::vector<expert>>> list =
            co_await e->calls.held_experts();
        const core::result<rank_state> after = co_await e->calls.state();
        // The list belongs to the layout only if the layout did not change in the meantime.
        if (list && after && after.value().active == state.value().active &&
            after.value().epoch == state.value().epoch) {
            held = list.value();
        }
    }
    if (e->ended) {
        co_return;
    }
    const bool first = !e->rank;
    e->rank = state.value().rank;
    if (!leader_.on_direct_state(state.value(), held) && !e->ended) {
        excluded_at_[e->address.address()] = core::runtime_clock::now();
        e->rank.reset();
        end(e->address.address(), "not_wanted");
        co_return;
    }
    if (first && !e->ended) {
        core::log_event("rank_read_directly")
            .field("group", context_.group)
            .field("engine", e->address.address().to_string())
            .field("rank", state.value().rank)
            .field("step", state.value().step)
            .field("held", state.value().held_step ? state.value().held_step->value : 0);
    }
}

} // namespace currantpitch::rankcontrol
