#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace currantpitch::rankcontrol {

/// Epoch of the group: the same on every rank, incremented when the group is rebuilt.
using group_epoch = core::number<struct group_epoch_tag>;
/// Number of a leadership. The agents of the ranks obey no leader with a lower one.
using term = core::number<struct term_tag>;

using expert = std::uint16_t;
/// Experts that each rank holds, for one layer.
using layer_layout = std::vector<std::vector<expert>>;
/// Experts that each rank holds, by layer.
using layout = std::vector<layer_layout>;

/// Counts or shares by layer and expert.
using expert_counts = std::vector<std::vector<double>>;

/// Identifies a group among all services.
struct group_key {
    core::service_id service;
    core::group_id group;

    /// Name of the group's objects in the store.
    std::string object_name() const { return service.str() + "." + group.str(); }
    friend bool operator==(const group_key&, const group_key&) = default;
};

/// Dimensions and limits of a group's layouts.
struct layout_shape {
    std::size_t ranks = 0;
    std::size_t layers = 0;
    std::size_t experts = 0;
    std::size_t expert_slots_per_rank = 0;
    /// Maximum number of experts of one layer that a layout may add to a rank.
    std::size_t new_per_rank = 0;

    friend bool operator==(const layout_shape&, const layout_shape&) = default;
};

/// The layout that a group starts with: the experts are assigned to the ranks round-robin.
layout initial_layout(const layout_shape& shape);

/// A layout that becomes active at a step.
struct armed_layout {
    core::map_version version;
    core::step_number step;

    friend bool operator==(const armed_layout&, const armed_layout&) = default;
};

/// State that an engine reports.
struct rank_state {
    core::group_id group;
    std::uint32_t rank = 0;
    std::uint32_t group_size = 0;
    group_epoch epoch;
    /// Whether the group runs; false while a rank is missing.
    bool open = false;
    core::incarnation incarnation;
    core::step_number step;
    core::map_version active;
    /// Version of the layout whose experts have all been copied.
    std::optional<core::map_version> loaded;
    std::optional<armed_layout> armed;
    /// Step that this engine keeps the group from beginning.
    std::optional<core::step_number> held_step;
    /// Factor by which the engine is slower than usual; 1 is usual.
    double slowness = 1;
};

/// Whether the states differ in anything other than the step and the slowness.
bool differs(const rank_state& a, const rank_state& b);

/// Number of versions of one leadership. A version is the term times this number plus a counter.
inline constexpr std::uint64_t versions_per_term = 1'000'000;
/// Term of the leadership that created a version; zero for the layout that a group starts with.
constexpr term term_of(core::map_version v)
{
    return term{v.value / versions_per_term};
}
/// Highest term of the layouts that the engine has or copies.
term newest_term(const rank_state& state);

enum class order_kind : std::uint8_t {
    load,    ///< copy the experts of a layout
    arm,     ///< activate the layout at a step
    disarm,  ///< cancel the activation
    hold,    ///< do not begin a step
    release, ///< end a hold
    last = release,
};
std::string_view to_string(order_kind k);

/// One order to an engine.
struct engine_order {
    order_kind kind = order_kind::load;
    group_epoch epoch;
    core::map_version version;
    core::step_number step;
    /// Only for load. Shared, since the orders of all ranks have the same layout.
    std::shared_ptr<const layout> experts;
};

enum class order_result : std::uint8_t {
    accepted, ///< execution has begun
    already,  ///< the engine is in the requested state
    refused,  ///< not possible in the engine's state; nothing was executed
    last = refused,
};

/// Identifies an order among those of all leaders of a group. A later order of one leader, and any
/// order of a later term, is greater.
struct order_id {
    rankcontrol::term term;
    std::uint64_t number = 0;

    friend auto operator<=>(const order_id&, const order_id&) = default;
};

/// Where an order comes from.
struct order_origin {
    core::group_id group;
    order_id id;
};

/// Whether both orders request the same of the engine.
bool same_request(const engine_order& a, const engine_order& b);

/// Whether the engine is in the state that the order requests.
bool fulfilled(const engine_order& order, const rank_state& state);

} // namespace currantpitch::rankcontrol
