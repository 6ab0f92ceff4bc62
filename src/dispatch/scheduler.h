#pragma once

#include "backpressure/endpointsignals.h"
#include "capacity/endpointcapacities.h"
#include "core/identifiers.h"
#include "core/runtimeclock.h"
#include "dispatch/dispatchmessages.h"
#include "dispatch/loadreporttiming.h"
#include "overload/priorityreserve.h"
#include "overload/returnschedule.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace currantpitch::dispatch {

/// Identifies a waiting request.
using ticket = core::number<struct dispatch_ticket_tag>;

/// An endpoint that accepts requests.
struct available_endpoint {
    core::endpoint_id endpoint;
    core::failure_domain_id failure_domain;
    unsigned concurrency = 1;
    /// Zero when it is not reported.
    core::incarnation incarnation{};
};

/// Properties of a request that determine when and where it runs.
struct dispatch_request {
    /// 0 is the most urgent.
    int priority = 0;
    core::time_point arrived;
    /// Time at which waiting for a slot ends.
    core::time_point deadline;
    /// Endpoints that have already been tried for this request.
    std::set<core::endpoint_id> excluded;
};

/// Outcome of a request at an endpoint.
enum class work_outcome {
    done,      ///< the endpoint answered without a failure
    failed,    ///< the endpoint answered with a failure
    refused,   ///< the endpoint did not run it
    broken,    ///< no valid answer
    abandoned, ///< the caller left or the deadline passed; tells nothing about the endpoint
};
std::string_view to_string(work_outcome o);

/// Grants a waiting request a slot at an endpoint.
struct dispatch_grant {
    ticket number;
    core::endpoint_id endpoint;
    int priority = 0;
};

/// Decides when and at which endpoint of one service a request of this entry runs. An endpoint's
/// load is the number of this entry's own requests there plus those that the peers reported. The
/// scheduler picks the least loaded of a few randomly sampled endpoints. If every entry picked the
/// least loaded one of all, they would overload it before the next load reports arrive. Where the
/// service's endpoints work independently, the load is weighted by the endpoint's service time.
/// Once most slots are in use, an entry is limited to its fair share of them, or, where requests
/// of several priorities use the service, to what the reserve leaves to each priority. An endpoint
/// that limits its requests or is cold is chosen only with a permit, which is taken along with the
/// slot. While others are free, no request waits for the permit of a cold one.
class scheduler {
public:
    scheduler(core::failure_domain_id own_domain, bool weigh_by_latency, std::uint64_t seed)
        : own_domain_(std::move(own_domain)), weigh_by_latency_(weigh_by_latency), random_(seed),
          returns_(seed + 1)
    {
    }

    /// Replaces the set of endpoints that accept requests.
    void set_endpoints(const std::vector<available_endpoint>& endpoints);
    /// Sets whether the endpoints work independently, so that a slow one gets fewer requests.
    void set_weigh_by_latency(bool weigh);
    /// Uses the learned concurrency of each endpoint in place of the declared one from now on.
    void learn_capacity(std::uint64_t seed);
    /// Sets the number of entry processes that share the endpoints, including this one.
    void set_process_count(std::size_t processes)
    {
        process_count_ = processes == 0 ? 1 : processes;
        report_lifetime_ = timing_for(process_count_).lifetime;
    }
    /// Sets whether slots are reserved for more urgent requests.
    void set_reserve_enabled(bool enabled) { reserve_.set_enabled(enabled); }
    /// Sets the limit of requests per endpoint. The lower one of this limit and an endpoint's
    /// concurrency is its number of slots in the calculation of the fair share and retry_after.
    void set_limit(double requests) { limit_ = requests; }
    /// Sets what the endpoints say of the requests that they accept. The signals must outlive the
    /// scheduler.
    void set_signals(backpressure::endpoint_signals& signals) { signals_ = &signals; }
    /// Replaces the peer's load report: its running requests by endpoint, and its load of this
    /// service by priority.
    void on_peer_load(const core::host_id& peer, const std::map<core::endpoint_id, unsigned>& load,
                      core::time_point now, const overload::load_by_priority& by_priority = {});
    /// Removes the peer's load report.
    void remove_peer(const core::host_id& peer);

    /// Endpoint that the request should use, among those that admit requests and those whose permit
    /// may be requested. Returns nullopt if the request has to wait or no endpoint is left.
    std::optional<core::endpoint_id> preferred(const dispatch_request& request,
                                               core::time_point now);
    /// Requests a permit of the endpoint for a request that does not wait for long.
    void request_permit(const core::endpoint_id& endpoint, core::time_point now);
    /// Whether a permit of the cold endpoint is refused without asking another entry.
    bool refused_at_once(const core::endpoint_id& endpoint, core::time_point now) const;
    bool awaits_permit(const core::endpoint_id& endpoint, core::time_point now) const;
    /// Counts a new request, before it starts or waits.
    void on_arrival(int priority, core::time_point now) { reserve_.on_arrival(priority, now); }
    /// Starts a request of the priority at the endpoint if it admits requests. Returns whether it
    /// has started.
    bool start_at(const core::endpoint_id& endpoint, core::time_point now, int priority = 0);
    /// Whether the request does not start because its slots are reserved for other priorities.
    bool reserved(const dispatch_request& request, core::time_point now);
    /// Whether the request may start before its deadline, after the waiting ones ahead of it.
    bool may_start_in_time(const dispatch_request& request, core::time_point now);
    /// Starts the request and returns its endpoint. Returns nullopt if the request has to wait or
    /// no endpoint is left.
    std::optional<core::endpoint_id> start(const dispatch_request& request, core::time_point now);
    /// Whether the request may run at any of the endpoints, now or later.
    bool has_candidate(const dispatch_request& request) const;
    /// Earliest time at which the request may start because of the endpoints' limits. Whether an
    /// endpoint has a free slot is not taken into account.
    core::time_point earliest_start(const dispatch_request& request, core::time_point now) const;
    /// Adds the request to the waiting ones. Returns nullopt if too many are waiting.
    std::optional<ticket> enqueue(const dispatch_request& request);
    void cancel(ticket number);
    /// Removes and returns the waiting requests that start now. They count as running.
    std::vector<dispatch_grant> take_grants(core::time_point now);
    /// Removes and returns the waiting requests whose deadline has passed, or that cannot start
    /// before it.
    std::vector<ticket> take_expired(core::time_point now);
    /// Ends a running request.
    void finish(const core::endpoint_id& endpoint, work_outcome outcome,
                core::duration service_time, core::time_point now, int priority = 0);

    /// Records the start of a request, for learning.
    capacity::started_request begin_sample(const core::endpoint_id& endpoint, core::time_point now);
    /// Records the end of a request that still counts as running. The latency is the time to its
    /// answer or first event, or to its end if it got none.
    void end_sample(const capacity::started_request& request, work_outcome outcome, bool responded,
                    core::duration latency, core::time_point now);
    /// Adds a peer's samples.
    void on_peer_samples(const core::host_id& peer,
                         const std::vector<capacity::endpoint_samples>& samples,
                         core::time_point now);
    /// Returns the samples to report to the peers, if a report of them is due.
    std::vector<capacity::endpoint_samples> take_samples(core::time_point now);
    /// Removes and returns the changes of learned concurrencies since the last call.
    std::vector<capacity::capacity_change> take_capacity_changes(core::time_point now);
    /// Number of concurrent requests by endpoint: the learned one, or the declared one.
    std::map<core::endpoint_id, unsigned> slots() const;

    /// Number of this entry's running requests by endpoint.
    std::map<core::endpoint_id, unsigned> own_load() const;
    const overload::priority_reserve& reserve() const { return reserve_; }
    /// Decision of the reserve on a request of the priority that would start now. Nothing is
    /// decided while requests of one priority only have been seen.
    std::optional<overload::priority_reserve::decision> reserve_decision(int priority,
                                                                         core::time_point now);
    /// Number of waiting requests.
    std::size_t waiting() const { return waiting_.size(); }
    /// Number of endpoints, including removed ones that still run requests.
    std::size_t size() const { return endpoints_.size(); }
    /// Number of requests that run at the endpoint, from own requests and the peers' reports.
    unsigned load_of(const core::endpoint_id& endpoint, core::time_point now);
    /// Time after which a retry is likely to find a free slot.
    std::chrono::milliseconds retry_after() const;
    /// The same for a caller of the priority. Where requests of several priorities use the service,
    /// callers that are refused one after another get successive times, more urgent ones first.
    std::chrono::milliseconds retry_after(int priority, core::time_point now);
    /// Time after which a retry is likely to be admitted, if all endpoints limit their requests or
    /// want none for now.
    /// Callers that are refused one after another get successive times.
    std::chrono::milliseconds retry_after_limit(core::time_point now);

    /// Number of entries that share the slots: this one and those whose reports are fresh. At least
    /// half of the registered ones, and all of them while none reports, as this entry is then most
    /// likely the one that is cut off.
    std::size_t sharing_count(core::time_point now);

private:
    struct endpoint_state {
        available_endpoint properties;
        bool available = false;
        /// Learned concurrency; the declared one if none is learned.
        unsigned slots = 1;
        /// Requests that it may get once all endpoints run as many as they handle well.
        unsigned max_requests = 1;
        /// Factor by which it is slower than the others, as learned.
        double slowdown = 1;
        unsigned own_requests = 0;
        unsigned consecutive_failures = 0;
        core::time_point ejected_until;
        double latency_ms = 0;
        core::time_point latency_updated_at;
    };
    struct peer_state {
        std::map<core::endpoint_id, unsigned> load;
        overload::load_by_priority by_priority;
        core::time_point reported_at;
    };
    struct waiting_request {
        ticket number;
        dispatch_request request;
    };
    struct by_urgency {
        bool operator()(const waiting_request& a, const waiting_request& b) const;
    };

    /// An endpoint that has a free slot, and its load.
    struct candidate {
        const endpoint_state* endpoint = nullptr;
        unsigned load = 0;
        backpressure::admission admission = backpressure::admission::unlimited;
    };

    bool limited(const endpoint_state& s, core::time_point now) const;
    /// Number of slots that count for the fair share and retry_after. An endpoint that limits its
    /// requests or is cold has none to spare.
    double usable_slots(const endpoint_state& s, core::time_point now) const;
    backpressure::admission admission_of(const endpoint_state& s, core::time_point now) const;
    const endpoint_state* choose(const dispatch_request& request, bool include_requestable,
                                 core::time_point now);
    /// Returns the endpoints with fewer requests than they handle well. If there are none and
    /// beyond_slots is set, those with fewer than they accept.
    std::vector<candidate> candidates(const dispatch_request& request, bool include_requestable,
                                      bool beyond_slots, core::time_point now);
    void set_learned_endpoints(const std::vector<available_endpoint>& endpoints);
    void update_slots(core::time_point now);
    /// Returns the candidate that this request should probe; nullptr if there is none.
    const endpoint_state* probe(const std::vector<candidate>& candidates, core::time_point now);
    /// Moves randomly chosen candidates to the front, each with a probability in inverse
    /// proportion to its slowdown.
    void sample_by_speed(std::vector<candidate>::iterator first,
                         std::vector<candidate>::iterator last, std::size_t size);
    /// Requests permits for the waiting requests, at most one for each.
    void request_permits(core::time_point now);
    /// Slots of all endpoints, and how many of them are in use.
    struct slot_usage {
        double slots = 0;
        double used = 0;
        double own = 0;
    };
    slot_usage usage(core::time_point now);
    /// Whether most slots are in use and this entry uses its fair share of them.
    bool fair_share_used(core::time_point now);
    /// Whether the reserve or the fair share leaves a slot to a request of the priority.
    bool has_room(int priority, core::time_point now);
    unsigned peer_load(const core::endpoint_id& endpoint) const;
    void update_peer_totals(const peer_state& peer, bool added);
    void remove_expired_reports(core::time_point now);
    /// Gives the reserve the sum of the peers' reports.
    void update_reserve();
    double score(const endpoint_state& s, unsigned load, core::time_point now) const;
    double mean_latency() const;
    bool too_many_ejected(core::time_point now) const;

    core::failure_domain_id own_domain_;
    bool weigh_by_latency_;
    backpressure::endpoint_signals* signals_ = nullptr;
    /// Time at which the caller that was refused last for want of a permit returns.
    core::time_point last_return_;
    std::mt19937_64 random_;
    double limit_ = 1e9;
    std::map<core::endpoint_id, endpoint_state> endpoints_;
    std::optional<capacity::endpoint_capacities> learned_;
    std::map<core::host_id, peer_state> peers_;
    /// Sum of the peers' load reports by endpoint.
    std::unordered_map<core::endpoint_id, unsigned> peer_totals_;
    /// Lower bound on the time of the oldest report.
    core::time_point oldest_report_ = core::time_point::max();
    std::size_t process_count_ = 1;
    /// Time of the latest report of each peer that has a share of the slots.
    std::map<core::host_id, core::time_point> sharing_;
    std::chrono::milliseconds report_lifetime_ = min_load_report_lifetime;
    std::set<waiting_request, by_urgency> waiting_;
    ticket last_ticket_;
    overload::priority_reserve reserve_;
    overload::return_schedule returns_;
    /// Exponential moving average of service times, for estimating when a slot becomes free.
    double mean_service_ms_ = 0;
};

/// Loads by priority of each service in a peer's report. Invalid ones are left out.
std::map<core::service_id, overload::load_by_priority> loads_by_service(const load_report& report);

/// Adds the loads by priority of a service to the report. Adds nothing while requests of one
/// priority only have been seen.
void append_priorities(const core::service_id& service, const scheduler& s, load_report& report,
                       core::time_point now);

} // namespace currantpitch::dispatch
