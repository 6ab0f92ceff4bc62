#pragma once

#include "admission/retrywindow.h"
#include "backpressure/coldbudget.h"
#include "backpressure/endpointsignals.h"
#include "core/memorybudget.h"
#include "core/task.h"
#include "directory/coldtimes.h"
#include "directory/endpointdirectory.h"
#include "dispatch/concurrencycontroller.h"
#include "dispatch/workqueue.h"
#include "overload/outage.h"
#include "proxy/connectionpool.h"
#include "proxy/partguard.h"
#include "proxy/proxyconstants.h"
#include "proxy/requestguard.h"
#include "routes/configurationview.h"

#include <map>
#include <memory>
#include <random>
#include <set>

namespace currantpitch::proxy {

/// State that an entry keeps for one service.
struct service_state {
    service_state(const core::asio::any_io_executor& executor, dispatch::scheduler slot_scheduler,
                  admission::retry_window allowance, unsigned engine_concurrency, part_guard parts,
                  std::uint64_t seed)
        : queue(executor, std::move(slot_scheduler)), retries(allowance),
          concurrency_controller(engine_concurrency), guard(std::move(parts)), outage(seed),
          outage_change(executor)
    {
    }

    /// Records an event of a stream or an answer, which ends an outage.
    void on_progress(const core::service_id& service, core::time_point now);
    /// Logs an outage when the first request waits for its end.
    void on_outage(const core::service_id& service, core::time_point now);

    dispatch::work_queue queue;
    admission::retry_window retries;
    dispatch::concurrency_controller concurrency_controller;
    part_guard guard;
    overload::outage outage;
    /// Notified when an outage ends.
    core::notifier outage_change;
    bool outage_logged = false;
    /// Time of the last event of any of the service's streams.
    core::time_point last_progress;
    /// Number of streams that are at an endpoint.
    std::size_t running_streams = 0;
    /// Requests per second that a cold endpoint accepts; zero if the service has none.
    double cold_requests_per_second = 0;
};

/// Bounds that the deployment sets.
struct proxy_bounds {
    /// Age of the configuration beyond which API keys are no longer accepted.
    std::chrono::milliseconds max_configuration_age{4500};
    admission::retry_allowance retries;
    /// Bound on the requests to cold endpoints. Without it, they are treated like the others.
    std::optional<backpressure::cold_bounds> cold_start{};
    /// Whether the concurrency of the endpoints is learned.
    bool learn_capacity = false;
};

/// State that all requests of one entry share.
struct proxy_context {
    proxy_context(const core::asio::any_io_executor& e, core::failure_domain_id domain,
                  proxy_bounds b, std::uint64_t seed)
        : executor(e), own_domain(std::move(domain)), bounds(b), random(seed),
          started_at(core::runtime_clock::now())
    {
    }
    proxy_context(const proxy_context&) = delete;
    proxy_context& operator=(const proxy_context&) = delete;

    /// Returns the state of a service, which is created on first use.
    service_state& service(const core::service_id& name);
    /// Sets the memory of the process, in MiB, of which a part is for callers' bodies.
    void set_memory(std::optional<double> mib);
    /// Updates every service with its current endpoints and its profile from the configuration.
    void apply_endpoints();
    /// Records the cold times that are new and whose services are configured.
    void apply_cold_times();
    /// Records that the endpoint refused or lost a connection, so that it may have started again
    /// and be cold before it registers anew.
    void on_connection_lost(const directory::endpoint_record& record);
    /// Records what a peer knows of a cold endpoint.
    void on_cold_report(const backpressure::reported_signal& report, const core::host_id& peer);
    /// Records what an endpoint's answer to this request says about the requests that it accepts.
    void on_endpoint_signal(const backpressure::endpoint_signal& signal,
                            const std::string& request_id);
    /// Logs what is new in an answer, which a request of this entry or a peer has brought.
    void log_signal_change(const backpressure::endpoint_signal& signal,
                           const backpressure::signal_change& change, std::string_view source_kind,
                           std::string_view source) const;
    /// End of a request with this deadline, which a planned stop may end earlier.
    core::time_point end_of(core::time_point deadline) const
    {
        return stop_deadline ? std::min(deadline, *stop_deadline) : deadline;
    }
    /// Sets the number of processes that share the endpoints and the retry allowance, including
    /// this one.
    void set_process_count(std::size_t processes);

    /// Updates a service with its profile from the configuration.
    void apply_profile(const core::service_id& name, service_state& state);

    void log_cold(const core::endpoint_id& endpoint, core::incarnation incarnation,
                  std::string_view source);

    core::asio::any_io_executor executor;
    core::failure_domain_id own_domain;
    proxy_bounds bounds;
    routes::configuration_view configuration;
    directory::endpoint_directory endpoints;
    directory::cold_times cold_times;
    backpressure::endpoint_signals signals;
    connection_pool connections;
    core::memory_budget answers{max_answers_bytes};
    /// Memory of the requests that were read and have not ended.
    core::memory_budget request_bodies{default_request_bytes};
    std::mt19937_64 random;
    core::time_point started_at;
    std::map<core::service_id, std::unique_ptr<service_state>> services;
    /// Sends what an endpoint has said and what concerns all entries to all peers.
    std::function<void(const backpressure::reported_signal&)> publish_signal =
        [](const backpressure::reported_signal&) {
        };
    /// Is called when an endpoint becomes known as cold.
    std::function<void(const core::endpoint_id&)> on_cold = [](const core::endpoint_id&) {
    };
    /// Sends a report on parts of prompts to all peers.
    part_guard::publisher publish_part_report = [](const admission::part_report&) {
    };
    /// Sends a report on requests that may crash endpoints to all peers.
    request_guard::publisher publish_suspicion_report = [](const admission::suspicion_report&) {
    };
    request_guard requests{[this](const admission::suspicion_report& r) {
        publish_suspicion_report(r);
    }};
    std::size_t process_count = 1;
    std::size_t in_flight = 0;
    bool stopping = false;
    /// Time at which a planned stop ends the requests that still run.
    std::optional<core::time_point> stop_deadline;
    /// Time in a planned stop from which requests are refused that may last until its deadline.
    core::time_point stop_refuses_from;
};

/// Sets the gauges of the service's requests and slots by priority. No effect while requests of one
/// priority only have been seen.
void update_priority_gauges(const core::service_id& service, service_state& state,
                            core::time_point now);

} // namespace currantpitch::proxy
