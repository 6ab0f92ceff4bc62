#pragma once

#include "core/error.h"
#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <optional>
#include <string>
#include <string_view>

namespace currantpitch::actions {

/// Digest of workspace and idempotency key. Identifies an action in the ledger.
using action_id = core::name<struct action_tag>;
/// Digest of service, method, path and body of a call.
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

/// Index of the ledger shard that an action belongs to.
unsigned shard_of(const action_id& id, unsigned shards);

/// Checks key and issue time. Returns errc::invalid_argument if the key is empty or too long or if
/// the issue time lies in the future, and errc::stale if the key is older than the retention.
core::result<void> check_key(const action_request& request, core::wall_time now);

} // namespace currantpitch::actions
