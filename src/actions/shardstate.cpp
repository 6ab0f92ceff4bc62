#include "actions/shardstate.h"

#include "actions/actionsconstants.h"

namespace currantpitch::actions {

namespace {

// Estimated size of a record's JSON without its variable-length texts, in bytes.
constexpr std::size_t record_overhead_bytes = 330;

std::size_t size_of(const action_record& r)
{
    return record_overhead_bytes + r.agent.str().size() + r.content_type.size() + r.body.size() * 2;
}

} // namespace

const action_id& id_of(const ledger_operation& operation)
{
    return std::visit([](const auto& o) -> const action_id& { return o.id; }, operation);
}

void shard_state::insert(const action_id& id, action_record record)
{
    const std::map<action_id, action_record>::iterator found = records_.find(id);
    if (found != records_.end()) {
        bytes_ -= size_of(found->second);
    }
    bytes_ += size_of(record);
    ++changes_;
    records_[id] = std::move(record);
}

ledger_answer shard_state::answer_for(const action_id& id) const
{
    const std::map<action_id, action_record>::const_iterator found = records_.find(id);
    if (found == records_.end()) {
        return {};
    }
    return {found->second, false};
}

action_record* shard_state::claimed_by(const action_id& id,
                                       const sessions::attempt_identity& attempt)
{
    const std::map<action_id, action_record>::iterator found = records_.find(id);
    const bool claimed = found != records_.end() && found->second.state == record_state::claimed &&
                         found->second.attempt == attempt;
    return claimed ? &found->second : nullptr;
}

ledger_answer shard_state::claim(const claim_operation& o)
{
    if (records_.contains(o.id)) {
        return answer_for(o.id);
    }
    if (bytes_ + record_overhead_bytes + max_recorded_body_bytes > max_shard_bytes) {
        return {std::nullopt, true};
    }
    action_record record;
    record.fingerprint = o.fingerprint;
    record.issued_at = o.issued_at;
    record.attempt = o.attempt;
    record.agent = o.agent;
    insert(o.id, std::move(record));
    return answer_for(o.id);
}

ledger_answer shard_state::apply(const ledger_operation& operation, core::wall_time now)
{
    prune(now);
    if (const claim_operation* o = std::get_if<claim_operation>(&operation)) {
        return claim(*o);
    }
    if (const reclaim_operation* o = std::get_if<reclaim_operation>(&operation)) {
        if (const action_record* claimed = claimed_by(o->id, o->old_attempt)) {
            action_record next = *claimed;
            next.attempt = o->attempt;
            next.agent = o->agent;
            insert(o->id, std::move(next));
        }
    }
    else if (const finish_operation* o = std::get_if<finish_operation>(&operation)) {
        if (const action_record* claimed = claimed_by(o->id, o->attempt)) {
            action_record next = *claimed;
            next.state = record_state::finished;
            next.status = o->status;
            next.content_type = o->content_type;
            next.body = o->body;
            next.body_kept = o->body_kept;
            insert(o->id, std::move(next));
        }
    }
    else if (const mark_unknown_operation* o = std::get_if<mark_unknown_operation>(&operation)) {
        if (const action_record* claimed = claimed_by(o->id, o->attempt)) {
            action_record next = *claimed;
            next.state = record_state::not_known;
            insert(o->id, std::move(next));
        }
    }
    else if (const abandon_operation* o = std::get_if<abandon_operation>(&operation)) {
        if (claimed_by(o->id, o->attempt) != nullptr) {
            bytes_ -= size_of(records_[o->id]);
            ++changes_;
            records_.erase(o->id);
        }
    }
    return answer_for(id_of(operation));
}

void shard_state::prune(core::wall_time now)
{
    for (auto it = records_.begin(); it != records_.end();) {
        // Another process's clock may be ahead by max_clock_skew, so records are kept that much
        // longer than the retention.
        const bool expired = now - it->second.issued_at > retention + max_clock_skew;
        if (expired) {
            bytes_ -= size_of(it->second);
        }
        it = expired ? records_.erase(it) : std::next(it);
    }
}

} // namespace currantpitch::actions
