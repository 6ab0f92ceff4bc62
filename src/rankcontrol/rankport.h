#pragma once

#include "core/error.h"
#include "core/task.h"
#include "core/timer.h"
#include "rankcontrol/rankstate.h"

#include <concepts>

namespace currantpitch::rankcontrol {

/// Number of times that the requests of one rank chose each expert since the rank started.
struct cumulative_selection_counts {
    group_epoch epoch;
    core::step_number step;
    expert_counts counts;
};

/// Interface to an engine. Errors: errc::unavailable when nothing was executed; errc::timeout and
/// errc::closed when an order may have been executed or may still be executed later.
template <class P>
concept rank_port = requires(P& p, engine_order order, std::size_t layers, core::time_point t)
{
    {
        p.state(t)
        } -> std::same_as<core::task<core::result<rank_state>>>;
    {
        p.selection_counts(layers, t)
        } -> std::same_as<core::task<core::result<cumulative_selection_counts>>>;
    /// Experts that the engine holds currently, by layer.
    {
        p.held_experts(t)
        } -> std::same_as<core::task<core::result<std::vector<std::vector<expert>>>>>;
    {
        p.order(order, t)
        } -> std::same_as<core::task<core::result<order_result>>>;
};

} // namespace currantpitch::rankcontrol
