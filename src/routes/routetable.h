#pragma once

#include "core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace currantpitch::routes {

/// Version of the declared configuration. It increases with each accepted configuration.
using configuration_version = core::number<struct configuration_version_tag>;

/// Whether and how a request may be retried.
enum class retry_policy {
    idempotent,       ///< may run any number of times
    at_most_once,     ///< may run at most once
    resumable_stream, ///< a stream that another endpoint may continue after any event
    one_shot_stream,  ///< a stream that may run at most once
};
std::string_view to_string(retry_policy r);
inline bool is_stream(retry_policy r)
{
    return r == retry_policy::resumable_stream || r == retry_policy::one_shot_stream;
}
inline bool may_retry(retry_policy r)
{
    return r == retry_policy::idempotent || r == retry_policy::resumable_stream;
}

/// One of the services among which a route's requests are distributed.
struct weighted_service {
    core::service_id service;
    double weight = 1;
};

struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    retry_policy retry = retry_policy::at_most_once;
    /// Maximum time that the operator allows a request to wait for its answer.
    std::chrono::milliseconds timeout{};
    /// Maximum time to an answer, or to the first event of a stream, that counts as on time.
    std::chrono::milliseconds target_latency{};
    /// Maximum time between two events of a stream that counts as on time.
    std::chrono::milliseconds target_gap{};
    /// 0 is the highest priority.
    int priority = 0;
    /// Maximum number of endpoints to which one request of a caller may be sent.
    unsigned max_attempts = 1;
    /// Whether requests without a key are served.
    bool allow_anonymous = false;
    std::vector<weighted_service> services;
};

/// Capabilities and limits of a group of engines, as declared by the operator.
struct engine_profile {
    unsigned concurrency = 1;
    unsigned tokens_per_event = 1;
    std::chrono::duration<double, std::milli> step_time{};
    std::chrono::duration<double, std::milli> step_time_per_request{};
    double prompt_tokens_per_second = 0;
    unsigned expert_layers = 0;
    unsigned experts = 0;
    unsigned experts_per_rank = 0;
    /// Maximum number of experts per layer that one map may add to a rank.
    unsigned new_experts_per_map = 0;
    double expert_megabytes = 0;
    double link_megabits_per_second = 0;
    /// Fraction of the work for a token that is done by the experts.
    double expert_work_share = 0;
};

struct service_profile {
    core::service_id service;
    /// Maximum number of connections that one endpoint accepts from all callers together.
    unsigned max_connections = 0;
    std::optional<engine_profile> engine;
    /// Requests per second that a cold endpoint accepts from all callers together; zero if the
    /// service has no cold endpoints. Empty if it could not be read.
    std::optional<double> cold_requests_per_second{0.0};
};

struct workspace {
    core::workspace_id name;
    std::vector<std::string> keys;
    std::optional<int> priority;
};

/// Who may use the routes that require a key.
enum class access {
    open,   ///< no workspaces are declared: everybody, without a key
    keys,   ///< callers that have a key of a workspace
    closed, ///< workspaces are declared and no key is known: nobody
};
std::string_view to_string(access a);

/// Limits on the requests of callers.
struct caller_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

struct configuration {
    configuration_version version;
    std::vector<route> routes;
    std::vector<service_profile> services;
    /// The workspaces that could be read. Not set only if the operator declares none at all; an
    /// empty list, or one of which nothing could be read, lets nobody in.
    std::optional<std::vector<workspace>> workspaces;
    /// Number of workspaces and keys that were left out as unreadable.
    std::size_t unreadable_workspaces = 0;
    caller_limits limits;

    /// Returns the minimum target gap of the service's streams, or nullopt when it has no streams.
    std::optional<std::chrono::milliseconds> target_gap_of(const core::service_id& service) const;
};

/// One accepted configuration, indexed for lookups by request. Immutable.
class route_table {
public:
    explicit route_table(configuration accepted);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;
    ~route_table() = default;

    configuration_version version() const { return accepted_.version; }
    const caller_limits& limits() const { return accepted_.limits; }
    const std::vector<service_profile>& services() const { return accepted_.services; }
    std::size_t route_count() const { return accepted_.routes.size(); }
    std::size_t workspace_count() const
    {
        return accepted_.workspaces ? accepted_.workspaces->size() : 0;
    }
    std::size_t unreadable_workspace_count() const { return accepted_.unreadable_workspaces; }
    /// Who may use the routes that do not allow anonymous requests.
    access access_to_routes() const;

    /// Returns the route of the host with the longest prefix of the path, or nullptr when none
    /// matches.
    const route* match(std::string_view host, std::string_view path) const;
    /// Returns the workspace that the key belongs to, or nullptr when the key is unknown.
    const workspace* workspace_of_key(const std::string& key) const;
    /// Whether routes of the service differ in priority.
    bool priorities_differ(const core::service_id& service) const
    {
        return mixed_priorities_.contains(service);
    }
    /// Returns nullptr when the service is unknown.
    const service_profile* find_service(const core::service_id& service) const;

private:
    configuration accepted_;
    std::unordered_map<std::string, std::map<std::string, const route*, std::less<>>> by_host_;
    std::unordered_map<std::string, const workspace*> by_key_;
    std::unordered_map<core::service_id, const service_profile*> by_service_;
    std::unordered_set<core::service_id> mixed_priorities_;
};

/// Chooses one of the route's services by weight. The sample is a uniform random number from 0
/// to 1. Returns nullptr when the route has no services.
const core::service_id* choose_service(const route& r, double sample);

} // namespace currantpitch::routes
