#pragma once

#include "actions/actionkey.h"
#include "sessions/sessionmessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace currantpitch::actions {

enum class record_state {
    claimed,   ///< one attempt may run the action
    finished,  ///< the action ran; its reply is recorded
    not_known, ///< the action may have run and will not be run again
    last = not_known,
};

/// Ledger record of one action.
struct action_record {
    action_fingerprint fingerprint;
    core::wall_time issued_at;
    record_state state = record_state::claimed;
    /// The only attempt that may run the action, and its agent's host.
    sessions::attempt_identity attempt;
    core::host_id agent;
    /// State finished only: the reply.
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
    bool body_kept = true;

    friend bool operator==(const action_record&, const action_record&) = default;
};

/// Claims an action for an attempt that has not been sent.
struct claim_operation {
    action_id id;
    action_fingerprint fingerprint;
    core::wall_time issued_at;
    sessions::attempt_identity attempt;
    core::host_id agent;
};
/// Moves a claim from an attempt that never started to a new one.
struct reclaim_operation {
    action_id id;
    sessions::attempt_identity old_attempt;
    sessions::attempt_identity attempt;
    core::host_id agent;
};
/// Records the reply of the claimed attempt.
struct finish_operation {
    action_id id;
    sessions::attempt_identity attempt;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
    bool body_kept = true;
};
/// Marks the outcome as unknown: the claimed attempt may have run and its end cannot be determined.
struct mark_unknown_operation {
    action_id id;
    sessions::attempt_identity attempt;
};
/// Removes a claim whose attempt was never sent and never will be.
struct abandon_operation {
    action_id id;
    sessions::attempt_identity attempt;
};

using ledger_operation = std::variant<claim_operation, reclaim_operation, finish_operation,
                                      mark_unknown_operation, abandon_operation>;

/// The record of the action after an operation. Empty if the ledger has no record.
struct ledger_answer {
    std::optional<action_record> record;
    /// The shard has no room for a further claim.
    bool full = false;
};

/// Identifier of the action that an operation applies to.
const action_id& id_of(const ledger_operation& operation);

} // namespace currantpitch::actions
