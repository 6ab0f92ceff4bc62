#pragma once

#include "actions/ledgermessages.h"
#include "actions/ledgerowner.h"
#include "membership/peerhub.h"
#include "objectstore/httpstore.h"

#include <map>
#include <memory>

namespace currantpitch::entry {

/// Access of one entry to the action ledger. An operation is forwarded to the owner of its shard if
/// the owner is a connected peer, and committed by this entry otherwise. Several entries may act as
/// owner of a shard at the same time without harm.
class ledger_directory {
public:
    ledger_directory(objectstore::http_store& store, const core::asio::any_io_executor& executor,
                     core::host_id self, unsigned shards, std::uint64_t seed)
        : store_(store), executor_(executor), self_(std::move(self)), shards_(shards), seed_(seed)
    {
    }

    core::task<core::result<actions::ledger_answer>> execute(actions::ledger_operation operation,
                                                             core::time_point deadline);

    /// Sets the entries to which the shards are assigned.
    void set_entries(std::vector<core::host_id> entries) { entries_ = std::move(entries); }
    void set_peers(std::shared_ptr<membership::peer_hub> peers) { peers_ = std::move(peers); }
    /// Handles a request of a peer that regards this entry as the owner of the shard.
    void on_request(const core::host_id& peer, actions::ledger_request request);
    void on_reply(const actions::ledger_reply& reply);

private:
    struct pending_request {
        std::shared_ptr<core::notifier> answered;
        std::optional<actions::ledger_reply> reply;
    };

    core::host_id owner_of(unsigned shard) const;
    actions::ledger_owner<objectstore::http_store>& local_owner(unsigned shard);
    core::task<core::result<actions::ledger_answer>>
    forward(core::host_id owner, actions::ledger_operation operation, core::time_point deadline);

    objectstore::http_store& store_;
    core::asio::any_io_executor executor_;
    core::host_id self_;
    unsigned shards_;
    std::uint64_t seed_;
    std::vector<core::host_id> entries_;
    std::shared_ptr<membership::peer_hub> peers_;
    std::map<unsigned, std::unique_ptr<actions::ledger_owner<objectstore::http_store>>> owners_;
    std::uint64_t last_query_ = 0;
    std::map<std::uint64_t, pending_request> pending_requests_;
};

} // namespace currantpitch::entry
