#include "rankcontrol/rankstate.h"

#include <algorithm>

namespace currantpitch::rankcontrol {

std::string_view to_string(order_kind k)
{
    switch (k) {
    case order_kind::load:
        return "load";
    case order_kind::arm:
        return "arm";
    case order_kind::disarm:
        return "disarm";
    case order_kind::hold:
        return "hold";
    case order_kind::release:
        break;
    }
    return "release";
}

layout initial_layout(const layout_shape& shape)
{
    layer_layout layer(shape.ranks);
    for (std::size_t e = 0; e < shape.experts && shape.ranks > 0; ++e) {
        layer[e % shape.ranks].push_back(static_cast<expert>(e));
    }
    return layout(shape.layers, layer);
}

bool differs(const rank_state& a, const rank_state& b)
{
    return a.group != b.group || a.rank != b.rank || a.group_size != b.group_size ||
           a.epoch != b.epoch || a.open != b.open || a.incarnation != b.incarnation ||
           a.active != b.active || a.loaded != b.loaded || a.armed != b.armed ||
           a.held_step != b.held_step;
}

term newest_term(const rank_state& state)
{
    core::map_version newest = state.active;
    if (state.loaded) {
        newest = std::max(newest, *state.loaded);
    }
    if (state.armed) {
        newest = std::max(newest, state.armed->version);
    }
    return term_of(newest);
}

bool same_request(const engine_order& a, const engine_order& b)
{
    // A version has one layout only.
    return a.kind == b.kind && a.epoch == b.epoch && a.version == b.version && a.step == b.step;
}

bool fulfilled(const engine_order& order, const rank_state& state)
{
    if (state.epoch != order.epoch) {
        return false;
    }
    switch (order.kind) {
    case order_kind::load:
        return state.loaded == order.version;
    case order_kind::arm:
        return state.armed == armed_layout{order.version, order.step} ||
               state.active == order.version;
    case order_kind::disarm:
        return !state.armed || state.armed->version != order.version;
    case order_kind::hold:
        return state.held_step == order.step;
    case order_kind::release:
        return state.held_step != order.step;
    }
    return false;
}

} // namespace currantpitch::rankcontrol
