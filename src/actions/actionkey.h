#pragma once

#include "core/error.h"
#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <optional>
#include <string>
#include <string_view>

namespace currantpitch::actions {

/// Digest of workspace and idempotency key: the name of an action in the ledger.
using action_id = core::name<struct action_tag>;
/// Digest of what is to be done: service, method, path and body.
using action_fingerprint = core::name<struct action_fingerprint_tag>;

/// A call that runs at most once.
struct action_request {
    core::workspace_id workspace;
    core::service_id service;
    std::string key;
    core::wall_time issued_at;
    std::string method;
    std::string path;
    std::string body;
};

action_id id_of(const action_request& request);
action_fingerprint fingerprint_of(const action_request& request);

/// Shard of the ledger that an action belongs to.
unsigned shard_of(const action_id& id, unsigned shards);

/// Checks key and issue time: errc::invalid_argument for a key that is empty or too long or an
/// issue time in the future, errc::stale for a key older than the retention.
core::result<void> check_key(const action_request& request, core::wall_time now);

} // namespace currantpitch::actions
