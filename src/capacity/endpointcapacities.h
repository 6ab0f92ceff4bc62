#pragma once

#include "capacity/capacitymessages.h"
#include "capacity/slowdowntest.h"

#include <deque>
#include <limits>
#include <map>
#include <random>
#include <vector>

namespace currantpitch::capacity {

/// An endpoint as it is registered.
struct known_endpoint {
    core::endpoint_id endpoint;
    /// Zero when it is not reported.
    core::incarnation incarnation;
    /// Number of concurrent requests that it declares.
    unsigned declared = 1;
};

/// End of a request, as far as it says something of the endpoint.
enum class request_end {
    answered,   ///< with an answer, or the first event of a stream
    failed,     ///< the endpoint failed
    refused,    ///< the endpoint did not run it
    unfinished, ///< it ended for another reason; its latency is a lower bound
};

/// A request that runs at an endpoint.
struct started_request {
    core::endpoint_id endpoint;
    core::incarnation incarnation;
    /// Number of requests at the endpoint at the start, including this one.
    unsigned load = 1;
};

/// Change of a learned concurrency, and what it was derived from.
struct capacity_change {
    core::endpoint_id endpoint;
    unsigned from = 0;
    unsigned to = 0;
    unsigned declared = 0;
    /// Median latency as a multiple of the reference when it was last found slow.
    double slowdown = 1;
    /// Requests from which its latency rises; zero if that is not known.
    double saturation = 0;
    std::chrono::milliseconds latency{};
    std::chrono::milliseconds reference{};
    std::size_t samples = 0;
    std::size_t own_samples = 0;
};

/// Learns how many concurrent requests each endpoint of one service handles well, from the
/// latencies and failures of the requests of this entry and of its peers. An endpoint is reduced in
/// proportion to its slowdown against the faster endpoints, and to the number of requests from
/// which its own latency rises. Reductions end on good samples, and by themselves when there are
/// none.
class endpoint_capacities {
public:
    explicit endpoint_capacities(std::uint64_t seed) : random_(seed) {}

    /// Sets whether all endpoints advance together. Then an endpoint is compared with the median of
    /// all, and its load is not held responsible for its latency.
    void set_advance_together(bool together) { advance_together_ = together; }
    /// Replaces the set of endpoints. A new incarnation starts without samples.
    void set_endpoints(const std::vector<known_endpoint>& endpoints);

    /// Records the start of a request. The load includes it.
    started_request on_started(const core::endpoint_id& endpoint, unsigned load) const;
    /// Records the end of a request. Its load is that at its start: a request that takes long meets
    /// more others, so that the load at its end would seem to explain its latency.
    void on_finished(const started_request& request, core::duration latency, request_end end,
                     core::time_point now);
    /// Adds the samples of a peer.
    void on_peer_report(const core::host_id& peer, const std::vector<endpoint_samples>& report,
                        core::time_point now);
    /// Returns the own samples since the previous report. Empty before report_interval is over.
    std::vector<endpoint_samples> report(core::time_point now);

    /// Number of concurrent requests that the endpoint handles well: at least one, at most the
    /// declared number.
    unsigned concurrency_of(const core::endpoint_id& endpoint, unsigned declared,
                            core::time_point now);
    /// Number of concurrent requests that the endpoint must not exceed: the declared number, or the
    /// one that it handles well if it serves fewer requests in a second beyond that. A slow
    /// endpoint is better than none.
    unsigned limit_of(const core::endpoint_id& endpoint, unsigned declared, core::time_point now);
    /// Factor by which the endpoint is slower than the others at the same load; one if it is not.
    double slowdown_of(const core::endpoint_id& endpoint, core::time_point now);
    /// Whether any endpoint is reduced.
    bool any_reduced(core::time_point now);
    /// Decides whether a request goes to this endpoint in order to find out whether it is still
    /// slow. Counts the request as a probe if so.
    bool take_probe(const core::endpoint_id& endpoint, core::time_point now);
    /// Removes and returns the changes since the last call.
    std::vector<capacity_change> take_changes();

private:
    struct endpoint_state {
        known_endpoint properties;
        latency_samples samples;
        std::deque<latency_sample> unsent;
        std::optional<slowdown> slow;
        std::optional<saturation> saturated;
        core::time_point probed_at;
        bool last_sample_good = false;
        unsigned concurrency = 1;
        unsigned limit = 1;
        double slowness = 1;
    };

    endpoint_state* find(const core::endpoint_id& endpoint);
    void evaluate(core::time_point now);
    void update_slowdown(endpoint_state& s, const window_medians& low, const window_medians& all);
    void update_saturation(endpoint_state& s) const;
    void update_concurrency(endpoint_state& s, core::time_point now);
    /// Logarithm of the latency that is normal for the service now.
    std::optional<double> reference() const;

    bool advance_together_ = false;
    std::mt19937_64 random_;
    std::map<core::endpoint_id, endpoint_state> endpoints_;
    /// References at low loads and at all loads.
    reference_latencies low_references_{};
    reference_latencies references_{};
    std::vector<capacity_change> changes_;
    bool samples_added_ = false;
    bool any_reduced_ = false;
    core::time_point evaluated_at_;
    core::time_point reported_at_;
    core::endpoint_id last_reported_;
};

} // namespace currantpitch::capacity
