#pragma once

#include "core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace currantpitch::routes {

/// Version of the declared configuration; rises with each one that is accepted.
using configuration_version = core::number<struct configuration_version_tag>;

/// What may be repeated of a request.
enum class repeatability {
    idempotent,       ///< may run any number of times
    at_most_once,     ///< may run once at most
    resumable_stream, ///< a stream that another endpoint may continue after any event
    one_shot_stream,  ///< a stream that may run once at most
};
std::string_view to_string(repeatability r);
inline bool is_stream(repeatability r)
{
    return r == repeatability::resumable_stream || r == repeatability::one_shot_stream;
}
inline bool may_repeat(repeatability r)
{
    return r == repeatability::idempotent || r == repeatability::resumable_stream;
}

/// One of the services that a route's requests are spread over.
struct weighted_service {
    core::service_id service;
    double weight = 1;
};

struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    repeatability repeat = repeatability::at_most_once;
    /// Longest time that the operator wants a request kept waiting.
    std::chrono::milliseconds timeout{};
    /// Time within which an answer, or a stream's first event, counts as on time.
    std::chrono::milliseconds target_latency{};
    /// Longest pause between the events of a stream that counts as on time.
    std::chrono::milliseconds target_gap{};
    /// 0 is the most urgent.
    int priority = 0;
    /// Endpoints that one attempt of a caller may be sent to.
    unsigned max_attempts = 1;
    /// Requests without a key are served.
    bool allow_anonymous = false;
    std::vector<weighted_service> services;
};

/// What a group of engines does and takes, as the operator declares it.
struct engine_profile {
    unsigned concurrency = 1;
    unsigned tokens_per_event = 1;
    std::chrono::duration<double, std::milli> step_time{};
    std::chrono::duration<double, std::milli> step_time_per_request{};
    double prompt_tokens_per_second = 0;
    unsigned expert_layers = 0;
    unsigned experts = 0;
    unsigned experts_per_rank = 0;
    /// New experts of a layer that one map may bring to a rank.
    unsigned new_experts_per_map = 0;
    double expert_megabytes = 0;
    double link_megabits_per_second = 0;
    /// Part of a token's work that the experts do.
    double expert_work_share = 0;
};

struct service_profile {
    core::service_id service;
    /// Connections that one endpoint takes from all callers together.
    unsigned max_connections = 0;
    std::optional<engine_profile> engine;
};

struct workspace {
    core::workspace_id name;
    std::vector<std::string> keys;
    std::optional<int> priority;
};

/// Bounds on what a caller may send.
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
    std::vector<workspace> workspaces;
    caller_limits limits;

    /// Shortest of the target gaps of the service's streams; nothing when it has none.
    std::optional<std::chrono::milliseconds> target_gap_of(const core::service_id& service) const;
};

/// One accepted configuration, indexed for the lookups of a request. Never changes.
class route_table {
public:
    explicit route_table(configuration accepted);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;
    ~route_table() = default;

    configuration_version version() const { return accepted_.version; }
    const caller_limits& limits() const { return accepted_.limits; }
    const std::vector<service_profile>& services() const { return accepted_.services; }
    /// Whether requests need a key at all.
    bool has_workspaces() const { return !accepted_.workspaces.empty(); }

    /// The route of that host with the longest prefix that begins the path; nullptr without any.
    const route* match(std::string_view host, std::string_view path) const;
    /// The workspace that holds the key; nullptr when none does.
    const workspace* holder_of(const std::string& key) const;
    const service_profile* find_service(const core::service_id& service) const;

private:
    configuration accepted_;
    std::unordered_map<std::string, std::map<std::string, const route*, std::less<>>> by_host_;
    std::unordered_map<std::string, const workspace*> by_key_;
    std::unordered_map<core::service_id, const service_profile*> by_service_;
};

/// One of the route's services, by weight. The draw is a number from 0 to 1.
const core::service_id* choose_service(const route& r, double draw);

} // namespace currantpitch::routes
