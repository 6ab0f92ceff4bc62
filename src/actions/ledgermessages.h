#pragma once

#include "actions/ledger.h"

#include <cstdint>
#include <optional>
#include <string>

namespace currantpitch::actions {

/// Message types 48 to 63 are reserved for the ledger.
enum message_number : std::uint8_t {
    ledger_request_type = 48,
    ledger_reply_type = 49,
};

template <class Archive>
void describe(Archive& archive, action_record& m)
{
    archive(m.fingerprint, m.issued_at, m.state, m.attempt, m.agent, m.status, m.content_type,
            m.body, m.body_kept);
}
template <class Archive>
void describe(Archive& archive, claim_operation& m)
{
    archive(m.id, m.fingerprint, m.issued_at, m.attempt, m.agent);
}
template <class Archive>
void describe(Archive& archive, reclaim_operation& m)
{
    archive(m.id, m.old_attempt, m.attempt, m.agent);
}
template <class Archive>
void describe(Archive& archive, finish_operation& m)
{
    archive(m.id, m.attempt, m.status, m.content_type, m.body, m.body_kept);
}
template <class Archive>
void describe(Archive& archive, mark_unknown_operation& m)
{
    archive(m.id, m.attempt);
}
template <class Archive>
void describe(Archive& archive, abandon_operation& m)
{
    archive(m.id, m.attempt);
}

/// Requests an operation from a shard's owner. Exactly one of the operations is set.
struct ledger_request {
    static constexpr std::uint8_t type = ledger_request_type;
    std::uint64_t query = 0;
    std::chrono::milliseconds time_left{};
    std::optional<claim_operation> claim;
    std::optional<reclaim_operation> reclaim;
    std::optional<finish_operation> finish;
    std::optional<mark_unknown_operation> mark_unknown;
    std::optional<abandon_operation> abandon;
};
template <class Archive>
void describe(Archive& archive, ledger_request& m)
{
    archive(m.query, m.time_left, m.claim, m.reclaim, m.finish, m.mark_unknown, m.abandon);
}

/// Result of a ledger_request. After effect_unknown, the owner may or may not have applied the
/// operation.
enum class ledger_status { done, not_applied, effect_unknown, last = effect_unknown };

/// Answers ledger_request.
struct ledger_reply {
    static constexpr std::uint8_t type = ledger_reply_type;
    std::uint64_t query = 0;
    ledger_status status = ledger_status::done;
    std::optional<action_record> record;
    bool full = false;
};
template <class Archive>
void describe(Archive& archive, ledger_reply& m)
{
    archive(m.query, m.status, m.record, m.full);
}

} // namespace currantpitch::actions
