#include "fakes/rankgroup.h"

#include <algorithm>

namespace currantpitch::fakes {

using namespace rankcontrol;

rank_group::rank_group(layout_shape shape, core::group_id name)
    : shape_(shape), name_(std::move(name)), engines_(shape.ranks)
{
    rebuild_group();
    epoch_ = group_epoch{1};
}

order_result rank_group::load(std::uint32_t rank, engine& e, const engine_order& order)
{
    const bool complete =
        order.experts != nullptr && order.experts->size() == shape_.layers &&
        std::all_of(order.experts->begin(), order.experts->end(),
                    [this](const layer_layout& l) { return l.size() == shape_.ranks; });
    if (!complete || order.version <= e.max_version || e.armed) {
        return order_result::refused;
    }
    for (std::size_t layer = 0; layer < shape_.layers; ++layer) {
        const std::vector<expert>& current = e.resident_experts[layer];
        const std::vector<expert>& ordered = (*order.experts)[layer][rank];
        const auto added = std::count_if(ordered.begin(), ordered.end(), [&current](expert x) {
            return std::find(current.begin(), current.end(), x) == current.end();
        });
        if (static_cast<std::size_t>(added) > shape_.new_per_rank ||
            ordered.size() > shape_.expert_slots_per_rank) {
            return order_result::refused;
        }
    }
    e.max_version = order.version;
    e.loading = order.version;
    e.loaded.reset();
    e.next = *order.experts;
    return order_result::accepted;
}

order_result rank_group::order(std::uint32_t rank, const engine_order& order)
{
    engine& e = engines_[rank];
    if (!open_ || order.epoch != epoch_) {
        return order_result::refused;
    }
    const bool step_begun = order.step <= step_;
    switch (order.kind) {
    case order_kind::load:
        return load(rank, e, order);
    case order_kind::arm:
        if (e.armed == armed_layout{order.version, order.step}) {
            return order_result::already;
        }
        if (e.loaded != order.version || step_begun) {
            return order_result::refused;
        }
        e.armed = armed_layout{order.version, order.step};
        return order_result::already;
    case order_kind::disarm:
        if (e.active == order.version) {
            return order_result::refused;
        }
        if (e.armed && e.armed->version == order.version) {
            e.armed.reset();
        }
        return order_result::already;
    case order_kind::hold:
        if (step_begun || (e.held_step && *e.held_step != order.step)) {
            return order_result::refused;
        }
        e.held_step = order.step;
        return order_result::already;
    case order_kind::release:
        if (e.held_step == order.step) {
            e.held_step.reset();
        }
        return order_result::already;
    }
    return order_result::refused;
}

rank_state rank_group::state(std::uint32_t rank) const
{
    const engine& e = engines_[rank];
    rank_state s;
    s.group = name_;
    s.rank = rank;
    s.group_size = static_cast<std::uint32_t>(engines_.size());
    s.epoch = epoch_;
    s.open = open_;
    s.incarnation = e.incarnation;
    s.step = step_;
    s.active = e.active;
    s.loaded = e.loaded;
    s.armed = e.armed;
    s.held_step = e.held_step;
    return s;
}

const std::vector<std::vector<expert>>& rank_group::held_experts(std::uint32_t rank) const
{
    return engines_[rank].resident_experts;
}

void rank_group::finish_loading(std::uint32_t rank)
{
    engine& e = engines_[rank];
    if (e.loading) {
        e.loaded = e.loading;
        e.loading.reset();
    }
}

bool rank_group::begin_step()
{
    const core::step_number next = step_.next();
    const bool held = std::any_of(engines_.begin(), engines_.end(),
                                  [next](const engine& e) { return e.held_step == next; });
    if (!open_ || held) {
        return false;
    }
    step_ = next;
    bool switched = false;
    for (std::uint32_t rank = 0; rank < engines_.size(); ++rank) {
        engine& e = engines_[rank];
        if (e.armed && e.armed->step == step_) {
            e.active = e.armed->version;
            e.running = e.next;
            for (std::size_t layer = 0; layer < shape_.layers; ++layer) {
                e.resident_experts[layer] = e.next[layer][rank];
            }
            e.armed.reset();
            switched = true;
        }
    }
    switches_ += switched ? 1 : 0;
    check_layouts();
    return true;
}

void rank_group::check_layouts()
{
    const engine& first = engines_.front();
    for (const engine& e : engines_) {
        const bool same = e.active == first.active && e.running == first.running;
        if (!same && violation_.empty()) {
            violation_ = "step " + std::to_string(step_.value) + " began with versions " +
                         std::to_string(first.active.value) + " and " +
                         std::to_string(e.active.value);
        }
    }
    // Every expert must be in the memory of at least one rank.
    std::set<expert> resident;
    for (const engine& e : engines_) {
        resident.insert(e.resident_experts.front().begin(), e.resident_experts.front().end());
    }
    if (resident.size() != shape_.experts && violation_.empty()) {
        violation_ = "step " + std::to_string(step_.value) + " began without an expert";
    }
}

void rank_group::crash(std::uint32_t rank)
{
    open_ = false;
    engines_[rank].incarnation = core::incarnation{engines_[rank].incarnation.value + 1};
}

void rank_group::rebuild_group()
{
    const layout first = initial_layout(shape_);
    for (std::uint32_t rank = 0; rank < engines_.size(); ++rank) {
        const core::incarnation incarnation = engines_[rank].incarnation;
        engines_[rank] = engine{};
        engines_[rank].incarnation = incarnation;
        for (const layer_layout& layer : first) {
            engines_[rank].resident_experts.push_back(layer[rank]);
        }
    }
    epoch_ = group_epoch{epoch_.value + 1};
    open_ = true;
}

} // namespace currantpitch::fakes
