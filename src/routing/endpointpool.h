#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"
#include "routing/hashring.h"

#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace currantpitch::routing {

/// Load that an endpoint last reported.
struct reported_load {
    std::uint32_t running = 0;
    /// Estimated time at which the load was measured.
    core::time_point at;
};

/// Attributes and latest load report of one endpoint.
struct endpoint_state {
    core::endpoint_id endpoint;
    core::failure_domain_id failure_domain;
    /// Maximum number of requests that run at the same time.
    std::uint32_t concurrency = 1;
    /// True while a session exists and the endpoint is healthy and not leaving.
    bool usable = false;
    std::optional<reported_load> report;
};

/// Reason for choosing an endpoint.
enum class choice_reason { prefix, two_choices, only_one };
std::string_view to_string(choice_reason reason);

struct choice {
    core::endpoint_id endpoint;
    choice_reason reason = choice_reason::prefix;
    /// Estimated load of the endpoint without this request, as requests divided by concurrency.
    double load = 0;
};

/// Properties of a request that affect the choice of its endpoint.
struct route_request {
    /// Hash of workspace and prompt prefix. Equal prefixes prefer the same endpoint.
    std::uint64_t prefix = 0;
    /// Endpoints on which this request has already failed.
    std::set<core::endpoint_id> excluded;
    /// Only an endpoint that runs no other isolated request of this entry may be chosen.
    bool isolated = false;
};

/// Chooses among the endpoints of one service, as known to one entry. A request goes to the
/// endpoint that its prefix hashes to while the load of that endpoint is within a bound. Above the
/// bound, it goes to the less loaded of two random endpoints. An endpoint with an expired load
/// report counts as having the mean load rather than as idle.
class endpoint_pool {
public:
    explicit endpoint_pool(std::uint64_t seed) : random_(seed) {}

    /// Adds an endpoint or replaces its state.
    void update(endpoint_state state);
    void remove(const core::endpoint_id& endpoint);
    /// Chooses an endpoint for the request. Returns nullopt when none is eligible.
    std::optional<choice> choose(const route_request& request, core::time_point now);

    /// Records that a request was sent to the endpoint.
    void on_request_started(const core::endpoint_id& endpoint, bool isolated = false);
    /// Records that a request sent to the endpoint has ended.
    void on_request_finished(const core::endpoint_id& endpoint, bool isolated = false);

    std::size_t size() const { return index_of_.size(); }
    std::size_t usable_count() const { return usable_count_; }
    /// Sum of the concurrency of all usable endpoints.
    std::uint32_t usable_concurrency() const { return usable_concurrency_; }
    /// Estimated number of requests running on usable endpoints, from their latest reports and from
    /// the requests of this entry.
    double running() const { return total_running_; }

private:
    struct tracked_endpoint {
        endpoint_state state;
        /// Unfinished requests that this entry has sent to the endpoint.
        std::uint32_t in_flight = 0;
        std::uint32_t in_flight_at_report = 0;
        std::uint32_t isolated_in_flight = 0;
        /// False while the index of this element is in free_indices_.
        bool occupied = false;
    };

    bool eligible(const tracked_endpoint& e, const route_request& request) const;
    double load_of(const tracked_endpoint& e, core::time_point now) const;
    double mean_load() const;
    /// Adds the endpoint to the totals (sign 1) or removes it from them (sign -1).
    void add_to_totals(const tracked_endpoint& e, int sign);
    std::optional<std::size_t> sample_eligible(const route_request& request);
    choice make_choice(std::size_t index, choice_reason reason, core::time_point now) const;

    std::vector<tracked_endpoint> endpoints_;
    std::vector<std::size_t> free_indices_;
    std::unordered_map<core::endpoint_id, std::size_t> index_of_;
    hash_ring ring_;
    std::mt19937_64 random_;
    std::size_t usable_count_ = 0;
    std::uint32_t usable_concurrency_ = 0;
    /// Sum of the estimated running requests of all usable endpoints.
    double total_running_ = 0;
};

} // namespace currantpitch::routing
