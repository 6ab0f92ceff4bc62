#pragma once

#include "core/identifiers.h"
#include "rankcontrol/compactform.h"
#include "rankcontrol/rankstate.h"

#include <string>

namespace currantpitch::rankcontrol {

/// Message types 112 to 127 belong to rank control.
enum message_number : std::uint8_t {
    member_hello_type = 112,
    leader_claim_type = 113,
    rank_status_type = 114,
    rank_order_type = 115,
    rank_answer_type = 116,
};

template <class Archive>
void describe(Archive& archive, armed_layout& m)
{
    archive(m.version, m.step);
}
template <class Archive>
void describe(Archive& archive, rank_state& m)
{
    archive(m.group, m.rank, m.group_size, m.epoch, m.open, m.incarnation, m.step, m.active,
            m.loaded, m.armed, m.held_step, m.slowness);
}

/// First message of a member's connection to a candidate.
struct member_hello {
    static constexpr std::uint8_t type = member_hello_type;
    core::host_id host;
    group_key group;
    /// Address of the host, as the registration of its endpoint names it.
    std::string address;
};
template <class Archive>
void describe(Archive& archive, member_hello& m)
{
    archive(m.host, m.group.service, m.group.group, m.address);
}

/// Heartbeat of a candidate and the term under which it leads the group; the term is zero when it
/// does not lead.
struct leader_claim {
    static constexpr std::uint8_t type = leader_claim_type;
    core::group_id group;
    rankcontrol::term term;
    /// Whether the candidate's process is about to end. The others need not wait for its silence.
    bool leaving = false;
};
template <class Archive>
void describe(Archive& archive, leader_claim& m)
{
    archive(m.group, m.term, m.leaving);
}

/// State of a member's engine. A member obeys no leader with a term below the promised one, which
/// is zero until the member knows it.
struct rank_status {
    static constexpr std::uint8_t type = rank_status_type;
    term promised;
    /// Term that was promised before the state was read. Until it equals the promised one, an order
    /// of an earlier term may have been executed since.
    term read_under;
    rank_state state;
    /// Number of times that the rank's requests chose each expert between the engine's last two
    /// polls, by layer; empty in most statuses.
    std::vector<compact_counts> selection_counts;
    /// Experts that the rank holds, by layer; empty unless the leader may lack them.
    std::vector<std::vector<expert>> held_experts;
};
template <class Archive>
void describe(Archive& archive, rank_status& m)
{
    archive(m.promised, m.read_under, m.state, m.selection_counts, m.held_experts);
}

/// Order of a leader to the engine of a member.
struct rank_order {
    static constexpr std::uint8_t type = rank_order_type;
    order_id id;
    core::group_id group;
    /// The order without its experts, which are encoded in experts.
    engine_order order;
    /// Version of the layout that experts refers to; empty if experts is complete.
    std::optional<core::map_version> base;
    std::string experts;
    std::uint64_t layout_hash = 0;
};
template <class Archive>
void describe(Archive& archive, rank_order& m)
{
    archive(m.id.term, m.id.number, m.group, m.order.kind, m.order.epoch, m.order.version,
            m.order.step, m.base, m.experts, m.layout_hash);
}

/// Answer to the order with that id, with the engine's state after it. There is no result when the
/// engine did not answer, the member did not obey the order's term, or a later order replaced it.
struct rank_answer {
    static constexpr std::uint8_t type = rank_answer_type;
    order_id id;
    std::optional<order_result> result;
    rank_status status;
};
template <class Archive>
void describe(Archive& archive, rank_answer& m)
{
    archive(m.id.term, m.id.number, m.result, m.status);
}

} // namespace currantpitch::rankcontrol
