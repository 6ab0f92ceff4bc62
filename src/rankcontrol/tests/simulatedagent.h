#pragma once

#include "fakes/rankgroup.h"
#include "rankcontrol/layoutswitch.h"
#include "rankcontrol/rankexecutor.h"

#include <deque>
#include <functional>

namespace currantpitch::testing {

/// Orders that engines did not answer and may still execute, with their ranks.
using late_orders = std::vector<std::pair<std::uint32_t, rankcontrol::engine_order>>;

/// An agent in the model of layout switches. It sends an order to its engine attempt by attempt and
/// reads the engine's state between orders, so that the promised term may change in the meantime.
class simulated_agent {
public:
    /// An order that has ended, and the leader that gets its answer.
    struct finished_order {
        std::size_t leader = 0;
        rankcontrol::order_id id;
        std::optional<rankcontrol::order_result> result;
    };
    /// Returns a number below the bound.
    using choice = std::function<std::size_t(std::size_t)>;

    /// With shared use, simulates the leader's own calls to an engine that has an agent too.
    simulated_agent(std::uint32_t rank, fakes::rank_group& group,
                    rankcontrol::engine_use use = rankcontrol::engine_use::sole)
        : rank_(rank), group_(&group), use_(use)
    {
    }

    bool obeys(const rankcontrol::order_id& id) const { return fence_known && id.term == promised; }
    void begin_order(std::size_t leader, rankcontrol::addressed_order order)
    {
        newest_order_ = std::max(newest_order_, order.id);
        orders_.push_back({leader, std::move(order), 0});
    }
    bool idle() const { return orders_.empty(); }
    void drop_orders() { orders_.clear(); }

    /// Like rank_executor, sends the first order once, and again later until it is answered.
    /// Returns the order when it has ended. The choice is empty if the engine always answers.
    std::optional<finished_order> attempt(const choice& choose, late_orders& late)
    {
        if (orders_.empty()) {
            return std::nullopt;
        }
        order_in_progress& o = orders_.front();
        const bool in_force = obeys(o.order.id) && o.order.id == newest_order_;
        std::optional<rankcontrol::order_result> result;
        if (in_force) {
            result = send_to_engine(o, choose, late);
            ++o.attempts;
        }
        if (in_force && !result && o.attempts < max_attempts) {
            return std::nullopt;
        }
        if (o.attempts > 0) {
            state = group_->state(rank_);
            read_under = o.order.id.term;
        }
        const finished_order finished{o.leader, o.order.id, result};
        orders_.pop_front();
        return finished;
    }

    void read_state()
    {
        if (orders_.empty() || orders_.front().attempts == 0) {
            state = group_->state(rank_);
            read_under = promised;
        }
    }

    rankcontrol::term promised;
    bool fence_known = true;
    /// The engine's state when it was last read, and the term that was promised before.
    std::optional<rankcontrol::rank_state> state;
    rankcontrol::term read_under;

private:
    /// Number of times that an agent sends one order.
    static constexpr std::size_t max_attempts = 3;

    struct order_in_progress {
        std::size_t leader = 0;
        rankcontrol::addressed_order order;
        std::size_t attempts = 0;
    };

    std::optional<rankcontrol::order_result> send_to_engine(const order_in_progress& o,
                                                            const choice& choose, late_orders& late)
    {
        using rankcontrol::order_result;
        const rankcontrol::engine_order& order = o.order.order;
        const std::size_t outcome = choose ? choose(8) : 7;
        if (outcome == 0 || outcome == 2) {
            late.emplace_back(rank_, order);
        }
        if (outcome == 1) {
            group_->order(rank_, order);
        }
        if (outcome == 2) {
            group_->begin_step();
        }
        const bool answered = outcome > 2;
        const order_result result = answered ? group_->order(rank_, order) : order_result::refused;
        if (answered && result != order_result::refused) {
            return result;
        }
        const rankcontrol::rank_state after = group_->state(rank_);
        const bool accepted_before = o.attempts > 0 && answered &&
                                     order.kind == rankcontrol::order_kind::load && !after.armed &&
                                     use_ == rankcontrol::engine_use::sole;
        if (fulfilled(order, after) || accepted_before) {
            return order_result::already;
        }
        return answered ? std::optional(order_result::refused) : std::nullopt;
    }

    std::uint32_t rank_;
    fakes::rank_group* group_;
    rankcontrol::engine_use use_;
    rankcontrol::order_id newest_order_;
    std::deque<order_in_progress> orders_;
};

} // namespace currantpitch::testing
