#pragma once

#include "actions/ledger.h"

#include <map>
#include <string>

namespace currantpitch::actions {

/// The records of one shard of the ledger, as read from or to be written to its object. All
/// operations are idempotent.
class shard_state {
public:
    ledger_answer apply(const ledger_operation& operation, core::wall_time now);
    /// Drops records older than the retention.
    void prune(core::wall_time now);

    const std::map<action_id, action_record>& records() const { return records_; }
    void insert(const action_id& id, action_record record);
    /// Estimated size of the object, in bytes.
    std::size_t bytes() const { return bytes_; }
    /// Number of changes by operations. While it is unchanged, there is nothing to write.
    std::uint64_t changes() const { return changes_; }

private:
    ledger_answer answer_for(const action_id& id) const;
    action_record* claimed_by(const action_id& id, const sessions::attempt_identity& attempt);
    ledger_answer claim(const claim_operation& o);

    std::map<action_id, action_record> records_;
    std::size_t bytes_ = 0;
    std::uint64_t changes_ = 0;
};

} // namespace currantpitch::actions
