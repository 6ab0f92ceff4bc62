#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace currantpitch::dispatch {

/// Number of a waiting request.
using ticket = core::number<struct dispatch_ticket_tag>;

/// An endpoint that may be given work.
struct available_endpoint {
    core::endpoint_id endpoint;
    core::failure_domain_id failure_domain;
    unsigned concurrency = 1;
};

/// What matters of a request for when and where it runs.
struct dispatch_request {
    /// 0 is the most urgent.
    int priority = 0;
    core::time_point arrived;
    /// When waiting is given up.
    core::time_point give_up;
    /// Endpoints that have failed this request.
    std::set<core::endpoint_id> excluded;
};

/// How work at an endpoint ended.
enum class work_end {
    done,      ///< answered, whatever it said
    failed,    ///< the endpoint answered with a failure of its own
    refused,   ///< the endpoint did not run it
    broken,    ///< no or no proper answer
    abandoned, ///< the caller left or the time was up, which says nothing of the endpoint
};
std::string_view to_string(work_end e);

/// A waiting request that may start now, and where.
struct dispatch_grant {
    ticket number;
    core::endpoint_id endpoint;
};

/// Decides when and at which endpoint of one service a request of this entry runs. An endpoint's
/// load is this entry's own requests and those that the peers reported. The least loaded of a few
/// endpoints drawn by lot is taken, since many entries that all take the least loaded one would
/// crowd there before they hear of each other; weighed by its service time where the service's
/// endpoints work independently. Once most slots are in use an entry keeps to its part of them.
class scheduler {
public:
    scheduler(core::failure_domain_id own_domain, bool weigh_by_latency, std::uint64_t seed)
        : own_domain_(std::move(own_domain)), weigh_by_latency_(weigh_by_latency), random_(seed)
    {
    }

    /// The endpoints that may be given work from now on.
    void set_endpoints(const std::vector<available_endpoint>& endpoints);
    /// Whether the endpoints work independently, so that a slow one gets less.
    void set_weigh_by_latency(bool weigh) { weigh_by_latency_ = weigh; }
    /// Entries that share the endpoints, this one included.
    void set_sharers(std::size_t entries) { sharers_ = entries == 0 ? 1 : entries; }
    /// Requests that each endpoint runs at most, beside its own concurrency.
    void set_limit(double requests) { limit_ = requests; }
    void on_peer_load(const core::host_id& peer, const std::map<core::endpoint_id, unsigned>& load,
                      core::time_point now);
    void forget_peer(const core::host_id& peer);

    /// Starts the request now; nothing when it has to wait or no endpoint is left.
    std::optional<core::endpoint_id> start(const dispatch_request& request, core::time_point now);
    /// Whether any endpoint could ever run the request.
    bool has_candidate(const dispatch_request& request) const;
    /// Lets the request wait; nothing when too many wait.
    std::optional<ticket> wait(const dispatch_request& request);
    void withdraw(ticket number);
    /// Waiting requests that start now; they count as running.
    std::vector<dispatch_grant> take_grants(core::time_point now);
    /// Waiting requests whose time is up; they no longer wait.
    std::vector<ticket> take_expired(core::time_point now);
    /// Ends a running request.
    void finish(const core::endpoint_id& endpoint, work_end end, core::duration took,
                core::time_point now);

    /// This entry's running requests by endpoint.
    std::map<core::endpoint_id, unsigned> own_load() const;
    std::size_t waiting() const { return waiting_.size(); }
    std::size_t size() const { return endpoints_.size(); }
    /// Requests that run at the endpoint by what is known here.
    unsigned load_of(const core::endpoint_id& endpoint, core::time_point now);
    /// Time after which another try is likely to find room.
    std::chrono::milliseconds retry_after() const;

private:
    struct endpoint_state {
        available_endpoint known;
        bool available = false;
        unsigned own = 0;
        unsigned failures_in_a_row = 0;
        core::time_point passed_over_until;
        double latency_ms = 0;
        core::time_point latency_at;
    };
    struct peer_state {
        std::map<core::endpoint_id, unsigned> load;
        core::time_point at;
    };
    struct waiting_request {
        ticket number;
        dispatch_request request;
    };
    struct by_urgency {
        bool operator()(const waiting_request& a, const waiting_request& b) const;
    };

    /// An endpoint that has room for a request, and its load.
    struct candidate {
        const endpoint_state* endpoint = nullptr;
        unsigned load = 0;
    };

    const endpoint_state* choose(const dispatch_request& request, core::time_point now);
    std::vector<candidate> candidates(const dispatch_request& request, core::time_point now);
    /// Most slots are in use, and this entry has its part of them.
    bool own_part_taken(core::time_point now);
    unsigned peers_load(const core::endpoint_id& endpoint) const;
    void count_peer(const peer_state& peer, bool added);
    void forget_silent_peers(core::time_point now);
    double score(const endpoint_state& s, unsigned load, core::time_point now) const;
    double mean_latency() const;
    bool too_many_passed_over(core::time_point now) const;

    core::failure_domain_id own_domain_;
    bool weigh_by_latency_;
    std::mt19937_64 random_;
    double limit_ = 1e9;
    std::map<core::endpoint_id, endpoint_state> endpoints_;
    std::map<core::host_id, peer_state> peers_;
    /// Sum of the peers' reports, and the time of the oldest of them.
    std::unordered_map<core::endpoint_id, unsigned> peer_totals_;
    core::time_point oldest_report_ = core::time_point::max();
    std::size_t sharers_ = 1;
    std::set<waiting_request, by_urgency> waiting_;
    ticket last_ticket_;
    /// Running mean of service times, for the time until a slot becomes free.
    double service_ms_ = 0;
};

} // namespace currantpitch::dispatch
