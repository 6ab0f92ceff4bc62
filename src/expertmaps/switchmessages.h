#pragma once

#include "core/identifiers.h"
#include "expertmaps/expertmap.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace currantpitch::expertmaps {

template <class Archive>
void describe(Archive& archive, replica& m)
{
    archive(m.expert, m.weight);
}
template <class Archive>
void describe(Archive& archive, expert_map& m)
{
    archive(m.version, m.experts, m.ranks);
}

/// Message types 80 to 95 are reserved for the agents of a model group.
enum message_number : std::uint8_t {
    group_hello_type = 80,
    group_heartbeat_type = 81,
    rank_order_type = 82,
    rank_answer_type = 83,
    rank_report_type = 84,
};

/// First message of a member to a candidate for the group's leadership.
struct group_hello {
    static constexpr std::uint8_t type = group_hello_type;
    core::service_id group;
    core::host_id host;
    core::incarnation incarnation;
    std::uint32_t rank = 0;
};
template <class Archive>
void describe(Archive& archive, group_hello& m)
{
    archive(m.group, m.host, m.incarnation, m.rank);
}

/// Heartbeat that both sides of a connection between a member and a candidate send.
struct group_heartbeat {
    static constexpr std::uint8_t type = group_heartbeat_type;
    core::fence highest_fence;
};
template <class Archive>
void describe(Archive& archive, group_heartbeat& m)
{
    archive(m.highest_fence);
}

/// Number of a proposal, ordered over all leaders. A later proposal has a greater number.
struct proposal_number {
    core::fence fence;
    std::uint64_t sequence = 0;

    friend bool operator==(const proposal_number&, const proposal_number&) = default;
    friend std::strong_ordering operator<=>(const proposal_number&,
                                            const proposal_number&) = default;
};
template <class Archive>
void describe(Archive& archive, proposal_number& m)
{
    archive(m.fence, m.sequence);
}

/// A prepared switch to a version, which takes effect at the step.
struct prepared_switch {
    proposal_number proposal;
    core::map_version version;
    core::step_number step;

    friend bool operator==(const prepared_switch&, const prepared_switch&) = default;
};
template <class Archive>
void describe(Archive& archive, prepared_switch& m)
{
    archive(m.proposal, m.version, m.step);
}

enum class order_kind {
    query,   ///< promise the fence and report the state
    stage,   ///< load the weights of a map; may take a long time
    prepare, ///< promise not to begin the step before the outcome is known
    commit,  ///< use the prepared version starting at its step
    abort,   ///< discard the prepared version
    adopt,   ///< a rank that lost its state takes over the state of the group
    last = adopt,
};

/// An order of the leader to one rank. Every order carries the leader's fence.
struct rank_order {
    static constexpr std::uint8_t type = rank_order_type;
    order_kind kind = order_kind::query;
    proposal_number proposal;
    core::map_version version;
    core::step_number step;
    /// stage only.
    std::optional<expert_map> map;
    /// adopt only: a committed switch of the group that has not taken effect yet.
    std::optional<prepared_switch> committed;
};
template <class Archive>
void describe(Archive& archive, rank_order& m)
{
    archive(m.kind, m.proposal, m.version, m.step, m.map, m.committed);
}

/// State of a rank and its promises to leaders.
struct rank_state {
    core::fence promised;
    core::map_version active;
    core::step_number step;
    /// The rank has lost its state and begins no step until it has adopted the state of the group.
    bool fresh = false;
    std::optional<core::map_version> staged;
    std::optional<prepared_switch> prepared;
    /// The prepared switch has been committed but has not taken effect yet.
    bool committed = false;

    friend bool operator==(const rank_state&, const rank_state&) = default;
};
template <class Archive>
void describe(Archive& archive, rank_state& m)
{
    archive(m.promised, m.active, m.step, m.fresh, m.staged, m.prepared, m.committed);
}

/// Answer of a rank to an order.
struct rank_answer {
    static constexpr std::uint8_t type = rank_answer_type;
    std::uint32_t rank = 0;
    order_kind kind = order_kind::query;
    proposal_number proposal;
    bool accepted = false;
    std::string reason;
    rank_state state;
    /// query only: the active map, if the agent of the rank has its content.
    std::optional<expert_map> map;
};
template <class Archive>
void describe(Archive& archive, rank_answer& m)
{
    archive(m.rank, m.kind, m.proposal, m.accepted, m.reason, m.state, m.map);
}

/// Load report of a rank for the planner.
struct rank_report {
    static constexpr std::uint8_t type = rank_report_type;
    std::uint32_t rank = 0;
    core::step_number step;
    /// Tokens routed to each expert by this rank since the engine started.
    std::vector<std::uint64_t> expert_tokens;
    std::chrono::nanoseconds step_time{};
    std::chrono::milliseconds age{};
};
template <class Archive>
void describe(Archive& archive, rank_report& m)
{
    archive(m.rank, m.step, m.expert_tokens, m.step_time, m.age);
}

} // namespace currantpitch::expertmaps
