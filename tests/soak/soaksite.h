#pragma once

#include "soak/callers.h"
#include "soak/evacuationoperator.h"
#include "soak/faultproxy.h"
#include "soak/guaranteechecker.h"
#include "soak/nodeprocess.h"
#include "standins/standinendpoint.h"
#include "standins/standinengine.h"
#include "standins/standinstore.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace currantpitch::soak {

struct site_options {
    std::string program;
    /// Folder for the settings and log files of the processes.
    std::string folder;
    std::uint64_t seed = 1;
    std::size_t gateways = 3;
    std::size_t ranks = 4;
    std::size_t plain_endpoints = 6;
    std::size_t callers = 24;
    /// Whether a part of some prompts crashes the ranks that begin to answer it.
    bool crashing_part = false;
    /// Whether one request on each route crashes the endpoints that run it.
    bool crashing_request = false;
    /// Whether plain endpoints are slow and fast by turns, and the gateways learn their capacity.
    bool uneven_endpoints = false;
    /// Whether the operator evacuates one failure domain after the other.
    bool evacuation = false;
    /// Whether endpoints are cold for a while when they come back, and some do so again and again.
    bool cold_endpoints = false;
};

/// A complete site on loopback: the processes under test and, within this process, the store, the
/// endpoints with their engines, and the callers. Fault proxies stand in front of the store, the
/// endpoints and the gateways' listeners for callers.
class soak_site {
public:
    soak_site(const core::asio::any_io_executor& executor, site_options options,
              guarantee_checker& checker);

    /// Starts everything except the callers.
    void start();
    void start_callers();
    /// Stops the callers, then the processes with SIGTERM. Returns a finding for each process that
    /// did not exit with code 0 in time.
    core::task<std::vector<std::string>> stop();

    /// A process with its links.
    struct node {
        std::unique_ptr<node_process> process;
        std::unique_ptr<platform::standins::standin_store_server> store;
        std::unique_ptr<fault_proxy> store_link;
        /// Null for agents.
        std::unique_ptr<fault_proxy> caller_link;
    };
    struct endpoint {
        std::unique_ptr<platform::standins::standin_engine> engine;
        std::unique_ptr<platform::standins::standin_endpoint> server;
        std::unique_ptr<fault_proxy> link;
        std::string address;
        std::string domain;
        std::uint64_t incarnation = 1;
        /// A request has crashed the endpoint, and it is not back yet.
        bool crashed = false;
        core::time_point cold_until;
    };

    std::vector<node>& gateways() { return gateways_; }
    std::vector<node>& agents() { return agents_; }
    std::vector<endpoint>& ranks() { return ranks_; }
    std::vector<endpoint>& plain_endpoints() { return plain_endpoints_; }
    platform::standins::standin_store& store() { return store_; }
    fakes::rank_group& group() { return group_; }
    guarantee_checker& checker() { return checker_; }
    evacuation_operator& evacuations() { return evacuations_; }
    caller_environment& environment() { return environment_; }
    const core::asio::any_io_executor& executor() const { return executor_; }

    /// Restarts the gateway process if it has exited.
    void ensure_running(std::size_t gateway);
    /// Writes the endpoint's registration to the store.
    void register_endpoint(const endpoint& e, bool draining);
    void deregister_endpoint(const endpoint& e);
    /// Restarts the endpoint as a new incarnation under a new name.
    void restart_endpoint(endpoint& e);
    /// Writes a changed configuration to the store and reports it to the checker as acknowledged.
    void publish_configuration(declared_configuration changed);
    /// Writes the configuration and the registrations again after the store has lost some of them,
    /// and removes registrations that have lapsed.
    void publish_again();

private:
    std::string loopback_ip(unsigned block, std::size_t number) const;
    void build_gateway(std::size_t i);
    void build_rank(std::size_t i);
    void build_plain(std::size_t i);
    node make_node(const std::string& name, const std::string& settings, std::size_t store_number);
    /// Lets a rank crash under the request and come back as another incarnation.
    core::task<void> crash_rank(std::size_t i, arrival a);
    /// The same for an endpoint without an engine.
    core::task<void> crash_plain(std::size_t i, arrival a);
    void record_crash(const arrival& a);
    platform::standins::crash_trigger make_trigger(std::function<void(const arrival&)> crash) const;
    /// Lets the endpoint be cold from now on and reports the remaining time to the store.
    core::task<void> stay_cold(endpoint& e);
    /// Restarts some endpoints together, again and again.
    core::task<void> restart_endpoints();
    void build_link(endpoint& e, unsigned block, std::size_t i);
    template <class Handler>
    void listen(const core::asio::ip::tcp::endpoint& address, Handler& handler);
    core::task<void> run_group();
    core::task<void> monitor_own_lag();

    core::asio::any_io_executor executor_;
    site_options options_;
    guarantee_checker& checker_;
    std::mt19937_64 random_;
    platform::standins::standin_store store_;
    evacuation_operator evacuations_;
    rankcontrol::layout_shape shape_;
    fakes::rank_group group_;
    std::vector<node> gateways_;
    std::vector<node> agents_;
    std::vector<endpoint> ranks_;
    std::vector<endpoint> plain_endpoints_;
    std::vector<std::unique_ptr<core::asio::ip::tcp::acceptor>> listeners_;
    caller_environment environment_;
    /// Registrations of the endpoints, as last written.
    std::map<std::string, boost::json::value> registrations_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::size_t running_callers_ = 0;
};

} // namespace currantpitch::soak
