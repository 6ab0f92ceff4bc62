#pragma once

#include "core/finding.h"
#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantpitch::intents {

/// Kinds of resources. Hosts and quarantines are written only by the system.
enum class resource_kind { model_group, workspace, endpoint, host, quarantine, last = quarantine };

std::string_view to_string(resource_kind kind);
std::optional<resource_kind> kind_from_string(std::string_view text);
/// The names of all kinds in the store.
std::vector<std::string> all_kind_names();
/// Whether operators may write resources of the kind.
bool operator_writable(resource_kind kind);

/// Model, size and cost weights of a model group.
struct model_group_spec {
    std::string model;
    std::int64_t ranks = 1;
    std::int64_t experts = 1;
    std::int64_t layers = 1;
    /// Number of experts whose weights one rank can hold in each layer.
    std::int64_t slots_per_rank = 1;
    /// Size of one expert's weights in one layer, in bytes.
    std::int64_t expert_bytes = 0;
    /// Cost of a second of step time lost to skew; no unit.
    double skew_weight = 1;
    /// Cost of a second spent moving weights; no unit.
    double move_weight = 1;
    /// Bytes of weights that may be moved in an hour, per rank.
    std::int64_t move_budget_bytes_per_hour = 0;
};

/// Services and limits of a workspace.
struct workspace_spec {
    /// Model groups and plain services that serve the workspace.
    std::vector<core::service_id> services;
    /// Weight of the workspace when capacity is short.
    std::int64_t share = 1;
    /// Number of entries that serve the workspace; 0 derives it from the share.
    std::int64_t entries = 0;
    /// Maximum number of requests in flight over all entries; 0 sets no limit for the workspace.
    std::int64_t max_in_flight = 0;
};

enum class endpoint_role { engine, service };
enum class desired_state { serving, leaving };

/// Service, host and limits of an endpoint.
struct endpoint_spec {
    /// Model group or plain service that the endpoint belongs to.
    core::service_id service;
    endpoint_role role = endpoint_role::engine;
    core::host_id host;
    /// Rank in the model group; 0 for plain services.
    std::int64_t rank = 0;
    /// Whether the endpoint refuses orders with an outdated fencing number.
    bool checks_fencing = false;
    /// Number of requests that the endpoint may run at the same time.
    std::int64_t concurrency = 1;
    desired_state desired = desired_state::serving;
};

enum class host_role { entry, agent };
enum class host_state { live, leaving };

/// A process of the system. The process registers itself.
struct host_spec {
    host_role role = host_role::entry;
    core::failure_domain_id failure_domain;
    /// ADDRESS:PORT for callers; empty for agents.
    std::string caller_address;
    /// ADDRESS:PORT for other processes of the system.
    std::string peer_address;
    core::incarnation incarnation;
    host_state state = host_state::live;
};

/// A request that is refused because it crashed several endpoints.
struct quarantine_spec {
    /// Empty if the request was anonymous.
    core::workspace_id workspace;
    /// Digest of the request's content.
    std::string fingerprint;
    /// Endpoint incarnations that crashed while running the request.
    std::vector<std::string> evidence;
    core::wall_time expires_at;
};

/// A parsed spec, or all findings when it is invalid.
template <class Spec>
struct spec_report {
    core::findings problems;
    std::optional<Spec> spec;
};

spec_report<model_group_spec> parse_model_group(const boost::json::object& spec);
spec_report<workspace_spec> parse_workspace(const boost::json::object& spec);
spec_report<endpoint_spec> parse_endpoint(const boost::json::object& spec);
spec_report<host_spec> parse_host(const boost::json::object& spec);
spec_report<quarantine_spec> parse_quarantine(const boost::json::object& spec);

boost::json::object to_json(const host_spec& spec);
boost::json::object to_json(const quarantine_spec& spec);

/// All findings about a spec of the kind; their places are field paths below "spec.".
core::findings validate_spec(resource_kind kind, const boost::json::object& spec);
/// All findings about the name of a resource.
core::findings validate_name(std::string_view name);

} // namespace currantpitch::intents
