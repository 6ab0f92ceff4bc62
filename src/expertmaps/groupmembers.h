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

/// One rank of a group and the agent before it.
struct group_member {
    std::uint32_t rank = 0;
    core::host_id host;
    core::asio::ip::tcp::endpoint address;

    friend bool operator==(const group_member&, const group_member&) = default;
};

/// What an agent knows of its group from the configuration.
struct group_configuration {
    core::service_id group;
    planner_options options;
    /// Members by rank; one for each rank when the group is complete.
    std::vector<group_member> members;

    bool complete() const { return members.size() == options.shape.ranks; }
};

/// What a rank's engine reports to its agent.
struct rank_status {
    core::incarnation incarnation;
    core::step_number step;
    core::map_version active;
    /// The engine lost its state and waits for adopt.
    bool fresh = false;
    std::optional<prepared_switch> prepared;
    bool committed = false;
    std::vector<double> expert_tokens;
    std::chrono::nanoseconds step_time{};
    std::chrono::milliseconds age{};
};

/// How an agent orders its engine. order sends one order and confirms it: errc::refused when the
/// engine declined, errc::timeout or errc::closed when the effect is not known.
template <class E>
concept rank_engine = requires(E& e, rank_order order, core::time_point deadline)
{
    {
        e.order(order, deadline)
        } -> std::same_as<core::task<core::result<void>>>;
};

} // namespace currantpitch::expertmaps
