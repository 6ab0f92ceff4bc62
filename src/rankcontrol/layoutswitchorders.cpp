#include "rankcontrol/layoutswitch.h"
#include "rankcontrol/rankcontrolconstants.h"

#include <algorithm>

namespace currantpitch::rankcontrol {

engine_order layout_switch::make_order(order_kind kind) const
{
    engine_order order;
    order.kind = kind;
    order.epoch = *epoch_;
    order.version = version_;
    order.step = step_;
    if (kind == order_kind::load) {
        order.experts = next_layout_;
    }
    return order;
}

std::optional<engine_order> layout_switch::withdrawal_for(const rank_view& view) const
{
    if (view.state->armed) {
        engine_order disarm = make_order(order_kind::disarm);
        disarm.version = view.state->armed->version;
        return disarm;
    }
    if (!view.accepted_load) {
        return make_order(order_kind::load);
    }
    if (withdrawn() && view.state->held_step) {
        engine_order release = make_order(order_kind::release);
        release.step = *view.state->held_step;
        return release;
    }
    return std::nullopt;
}

std::optional<engine_order> layout_switch::release_for(std::uint32_t rank) const
{
    const rank_view& view = ranks_[rank];
    if (!view.state->held_step || (view.direct && !own_hold(rank))) {
        return std::nullopt;
    }
    engine_order release = make_order(order_kind::release);
    release.step = *view.state->held_step;
    return release;
}

std::optional<engine_order> layout_switch::order_for(std::uint32_t rank) const
{
    const rank_view& view = ranks_[rank];
    switch (phase_) {
    case switch_phase::loading:
        if (!view.accepted_load && view.state->loaded != version_) {
            return make_order(order_kind::load);
        }
        break;
    case switch_phase::fencing:
        // A load order to an armed engine would be refused.
        if (!view.accepted_load && !view.state->armed) {
            return make_order(order_kind::load);
        }
        break;
    case switch_phase::securing:
    case switch_phase::holding:
        if (rank == holder_ && !view.direct && view.state->held_step != step_) {
            return make_order(order_kind::hold);
        }
        break;
    case switch_phase::arming:
        if (view.state->armed != armed_layout{version_, step_}) {
            return make_order(order_kind::arm);
        }
        break;
    case switch_phase::releasing:
        return release_for(rank);
    case switch_phase::withdrawing:
        return withdrawal_for(view);
    case switch_phase::settling:
    case switch_phase::idle:
        break;
    }
    return std::nullopt;
}

std::vector<addressed_order> layout_switch::take_orders(core::time_point now)
{
    std::vector<addressed_order> orders;
    // A phase may time out without a new state from any rank.
    advance(now);
    if (!group_running() || !same_epoch() || !epoch_) {
        return orders;
    }
    for (std::uint32_t rank = 0; rank < ranks_.size(); ++rank) {
        rank_view& view = ranks_[rank];
        if (view.outstanding && now - view.outstanding->at <= order_timeout) {
            continue;
        }
        std::optional<engine_order> order = order_for(rank);
        if (!order) {
            continue;
        }
        if (order->kind == order_kind::hold || order->kind == order_kind::release) {
            last_held_step_ = std::max(last_held_step_, order->step);
        }
        // An order that is sent again keeps its id, so that a late answer to the first one counts.
        const bool same = view.outstanding && same_request(view.outstanding->order, *order);
        const order_id id = same ? view.outstanding->id : order_id{own_term_, ++orders_issued_};
        view.outstanding = sent_order{id, *order, now};
        orders.push_back({rank, id, std::move(*order)});
    }
    return orders;
}

} // namespace currantpitch::rankcontrol
