#pragma once

#include "admission/retrywindow.h"
#include "core/task.h"
#include "directory/endpointdirectory.h"
#include "dispatch/pacecontroller.h"
#include "dispatch/workqueue.h"
#include "proxy/connectionpool.h"
#include "routes/configurationview.h"

#include <map>
#include <memory>
#include <random>
#include <set>

namespace currantpitch::proxy {

/// What an entry keeps of one service.
struct service_state {
    service_state(const core::asio::any_io_executor& executor, dispatch::scheduler decisions,
                  admission::retry_window allowance, unsigned engine_concurrency)
        : queue(executor, std::move(decisions)), retries(allowance), pace(engine_concurrency)
    {
    }

    dispatch::work_queue queue;
    admission::retry_window retries;
    dispatch::pace_controller pace;
    /// When any stream of the service last went on.
    core::time_point last_progress;
};

/// Bounds that the place where the system runs sets for it.
struct proxy_bounds {
    /// Age of the configuration beyond which API keys are no longer accepted.
    std::chrono::milliseconds max_configuration_age{4500};
    admission::retry_allowance retries;
};

/// State that the requests of one entry share.
struct proxy_context {
    proxy_context(const core::asio::any_io_executor& e, core::failure_domain_id domain,
                  proxy_bounds b, std::uint64_t seed)
        : executor(e), own_domain(std::move(domain)), bounds(b), random(seed),
          started(core::runtime_clock::now())
    {
    }
    proxy_context(const proxy_context&) = delete;
    proxy_context& operator=(const proxy_context&) = delete;

    /// The state of a service; created at its first use.
    service_state& service(const core::service_id& name);
    /// Gives every service its endpoints, and what the configuration says of it, anew.
    void apply_endpoints();
    /// Processes that share the endpoints and the retry allowance, this one included.
    void set_sharers(std::size_t processes);

    void apply_profile(const core::service_id& name, service_state& state);

    core::asio::any_io_executor executor;
    core::failure_domain_id own_domain;
    proxy_bounds bounds;
    routes::configuration_view configuration;
    directory::endpoint_directory endpoints;
    connection_pool connections;
    std::mt19937_64 random;
    core::time_point started;
    std::map<core::service_id, std::unique_ptr<service_state>> services;
    std::size_t sharers = 1;
    std::size_t in_flight = 0;
    bool stopping = false;
};

} // namespace currantpitch::proxy
