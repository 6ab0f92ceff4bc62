#pragma once

#include "core/error.h"
#include "core/identifiers.h"
#include "core/task.h"
#include "expertmaps/planner.h"
#include "expertmaps/switchmessages.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <concepts>
#include <vector>

namespace currantpitch::expertmaps {

/// One rank of a group and the agent that controls it.
struct group_member {
    std::uint32_t rank = 0;
    core::host_id host;
    core::asio::ip::tcp::endpoint address;

    friend bool operator==(const group_member&, const group_member&) = default;
};

/// Configuration of an agent's group.
struct group_configuration {
    core::service_id group;
    planner_options options;
    /// One member for each rank when the group is complete.
    std::vector<group_member> members;

    bool complete() const { return members.size() == options.shape.ranks; }
};

/// Status report of a rank's engine to its agent.
struct rank_status {
    core::incarnation incarnation;
    core::step_number step;
    core::map_version active;
    /// The engine has lost its state and waits for an adopt order.
    bool fresh = false;
    std::optional<prepared_switch> prepared;
    bool committed = false;
    std::vector<double> expert_tokens;
    std::chrono::nanoseconds step_time{};
    std::chrono::milliseconds age{};
};

/// Sends orders of an agent to its engine. order() sends one order and waits for its confirmation.
/// It returns errc::refused when the engine refused the order, and errc::timeout or errc::closed
/// when it is unknown whether the order was executed.
template <class E>
concept rank_engine = requires(E& e, rank_order order, core::time_point deadline)
{
    {
        e.order(order, deadline)
        } -> std::same_as<core::task<core::result<void>>>;
};

} // namespace currantpitch::expertmaps
