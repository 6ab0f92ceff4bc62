#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace currantpitch::rankcontrol {

/// Epoch of the group: the same on every rank, incremented when the group is rebuilt.
using group_epoch = core::number<struct group_epoch_tag>;
/// Number of a leadership; ranks' agents obey no lower one.
using term = core::number<struct term_tag>;

using expert = std::uint16_t;
/// Experts that each rank holds, for one layer.
using layer_layout = std::vector<std::vector<expert>>;
/// The same for every layer.
using layout = std::vector<layer_layout>;

/// Counts by layer and expert.
using expert_counts = std::vector<std::vector<double>>;

/// Shape of a group's layouts.
struct layout_shape {
    std::size_t ranks = 0;
    std::size_t layers = 0;
    std::size_t experts = 0;
    std::size_t expert_slots_per_rank = 0;
    /// New experts of one layer that a layout may bring to a rank.
    std::size_t new_per_rank = 0;

    friend bool operator==(const layout_shape&, const layout_shape&) = default;
};

/// The layout that a group starts with: experts dealt to the ranks in turn.
layout initial_layout(const layout_shape& shape);

/// A layout that begins at a step.
struct armed_layout {
    core::map_version version;
    core::step_number step;

    friend bool operator==(const armed_layout&, const armed_layout&) = default;
};

/// What one engine says of itself.
struct rank_state {
    std::uint32_t rank = 0;
    std::uint32_t group_size = 0;
    group_epoch epoch;
    /// The group runs; otherwise a rank is missing.
    bool open = false;
    core::incarnation incarnation;
    core::step_number step;
    core::map_version active;
    /// Layout whose experts are all there.
    std::optional<core::map_version> loaded;
    std::optional<armed_layout> armed;
    /// Step that the group does not begin.
    std::optional<core::step_number> held;
    /// How much slower than usual the engine is; 1 is usual.
    double slowness = 1;
};

/// Whether anything but the step and the slowness differs.
bool differs(const rank_state& a, const rank_state& b);

/// Versions of one leadership: its term counts in their upper part.
inline constexpr std::uint64_t versions_per_term = 1'000'000;
/// The leadership that made a version; zero for the layout that a group starts with.
constexpr term term_of(core::map_version v)
{
    return term{v.value / versions_per_term};
}

enum class order_kind : std::uint8_t {
    load,    ///< copy the experts of a layout
    arm,     ///< begin the layout at a step
    disarm,  ///< do not begin it
    hold,    ///< do not begin a step
    release, ///< begin it after all
    last = release,
};
std::string_view to_string(order_kind k);

/// One order to an engine.
struct engine_order {
    order_kind kind = order_kind::load;
    group_epoch epoch;
    core::map_version version;
    core::step_number step;
    /// load only
    layout experts;
};

enum class order_result : std::uint8_t {
    accepted, ///< begun
    already,  ///< the state holds already
    refused,  ///< does not fit the engine's state; nothing happened
    last = refused,
};

/// Whether the engine's state is what the order asks for.
bool fulfilled(const engine_order& order, const rank_state& state);

} // namespace currantpitch::rankcontrol
