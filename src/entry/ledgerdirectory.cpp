#include "entry/ledgerdirectory.h"

#include "core/counters.h"
#include "core/hashing.h"
#include "entry/entryconstants.h"
#include "wire/packer.h"

namespace currantpitch::entry {

using actions::ledger_answer;
using core::errc;
using core::error;

namespace {

std::chrono::milliseconds time_left(core::time_point deadline)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline -
                                                                 core::runtime_clock::now());
}

actions::ledger_request request_of(const actions::ledger_operation& operation)
{
    actions::ledger_request r;
    if (const actions::claim_operation* o = std::get_if<actions::claim_operation>(&operation)) {
        r.claim = *o;
    }
    if (const actions::reclaim_operation* o = std::get_if<actions::reclaim_operation>(&operation)) {
        r.reclaim = *o;
    }
    if (const actions::finish_operation* o = std::get_if<actions::finish_operation>(&operation)) {
        r.finish = *o;
    }
    if (const actions::mark_unknown_operation* o =
            std::get_if<actions::mark_unknown_operation>(&operation)) {
        r.mark_unknown = *o;
    }
    if (const actions::abandon_operation* o = std::get_if<actions::abandon_operation>(&operation)) {
        r.abandon = *o;
    }
    return r;
}

std::optional<actions::ledger_operation> operation_of(const actions::ledger_request& r)
{
    if (r.claim) {
        return *r.claim;
    }
    if (r.reclaim) {
        return *r.reclaim;
    }
    if (r.finish) {
        return *r.finish;
    }
    if (r.mark_unknown) {
        return *r.mark_unknown;
    }
    if (r.abandon) {
        return *r.abandon;
    }
    return std::nullopt;
}

} // namespace

core::host_id ledger_directory::owner_of(unsigned shard) const
{
    core::host_id owner = self_;
    std::uint64_t owner_rank = core::hash64(self_.str(), shard + 1);
    for (const core::host_id& host : entries_) {
        const std::uint64_t rank = core::hash64(host.str(), shard + 1);
        if (rank > owner_rank) {
            owner = host;
            owner_rank = rank;
        }
    }
    return owner;
}

actions::ledger_owner<objectstore::http_store>& ledger_directory::local_owner(unsigned shard)
{
    std::unique_ptr<actions::ledger_owner<objectstore::http_store>>& owner = owners_[shard];
    if (!owner) {
        owner = std::make_unique<actions::ledger_owner<objectstore::http_store>>(
            store_, executor_, shard, core::combine_hashes(seed_, shard));
    }
    return *owner;
}

core::task<core::result<ledger_answer>>
ledger_directory::execute(actions::ledger_operation operation, core::time_point deadline)
{
    const unsigned shard = actions::shard_of(actions::id_of(operation), shards_);
    const core::host_id owner = owner_of(shard);
    if (owner != self_ && peers_) {
        const core::time_point owner_deadline =
            std::min(deadline, core::runtime_clock::now() + owner_reply_timeout);
        core::result<ledger_answer> answer = co_await forward(owner, operation, owner_deadline);
        if (answer) {
            co_return answer;
        }
        // Operations are idempotent, so this entry can execute one whose owner did not reply.
        core::counter_for("ledger_owner_passed_over_total").add();
    }
    co_return co_await local_owner(shard).execute(std::move(operation), deadline);
}

core::task<core::result<ledger_answer>>
ledger_directory::forward(core::host_id owner, actions::ledger_operation operation,
                          core::time_point deadline)
{
    actions::ledger_request request = request_of(operation);
    request.query = ++last_query_;
    request.time_left = time_left(deadline);
    const std::shared_ptr<core::notifier> answered = std::make_shared<core::notifier>(executor_);
    if (!peers_->send(owner, wire::encode(request))) {
        co_return error{errc::unavailable, "the owner is not connected"};
    }
    pending_requests_[request.query] = pending_request{answered, std::nullopt};
    co_await answered->wait_until(deadline);
    const std::optional<actions::ledger_reply> reply = pending_requests_[request.query].reply;
    pending_requests_.erase(request.query);
    if (!reply || reply->status == actions::ledger_status::effect_unknown) {
        co_return error{errc::timeout, "the owner did not answer"};
    }
    if (reply->status == actions::ledger_status::not_applied) {
        co_return error{errc::unavailable, "the owner cannot write"};
    }
    co_return ledger_answer{reply->record, reply->full};
}

void ledger_directory::on_request(const core::host_id& peer, actions::ledger_request request)
{
    core::spawn(
        executor_,
        [](ledger_directory& self, core::host_id from,
           actions::ledger_request received) -> core::task<void> {
            const std::optional<actions::ledger_operation> operation = operation_of(received);
            if (!operation) {
                co_return;
            }
            const unsigned shard = actions::shard_of(actions::id_of(*operation), self.shards_);
            const core::result<ledger_answer> answer = co_await self.local_owner(shard).execute(
                *operation, core::runtime_clock::now() + received.time_left);
            actions::ledger_reply reply;
            reply.query = received.query;
            if (answer) {
                reply.record = answer.value().record;
                reply.full = answer.value().full;
            }
            else {
                reply.status = answer.error().code == errc::timeout
                                   ? actions::ledger_status::effect_unknown
                                   : actions::ledger_status::not_applied;
            }
            self.peers_->send(from, wire::encode(reply));
        }(*this, peer, std::move(request)));
}

void ledger_directory::on_reply(const actions::ledger_reply& reply)
{
    const auto found = pending_requests_.find(reply.query);
    if (found != pending_requests_.end()) {
        found->second.reply = reply;
        found->second.answered->notify();
    }
}

} // namespace currantpitch::entry
