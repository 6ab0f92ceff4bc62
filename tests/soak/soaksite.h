#pragma once

#include "soak/callers.h"
#include "soak/faultproxy.h"
#include "soak/judge.h"
#include "soak/nodeprocess.h"
#include "standins/standinendpoint.h"
#include "standins/standinengine.h"
#include "standins/standinstore.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace currantpitch::soak {

struct site_options {
    std::string program;
    /// Folder for settings and logs.
    std::string folder;
    std::uint64_t seed = 1;
    std::size_t gateways = 3;
    std::size_t ranks = 4;
    std::size_t plain_endpoints = 6;
    std::size_t callers = 24;
};

/// One whole site on loopback: the processes under test, and around them, within this process, the
/// store, the endpoints with their engines, the callers, and a proxy before each.
class soak_site {
public:
    soak_site(const core::asio::any_io_executor& executor, site_options options, judge& verdicts);

    /// Starts everything but the callers.
    void start();
    void start_callers();
    /// Ends the callers, then the processes by a planned stop; findings of that stop.
    core::task<std::vector<std::string>> stop();

    /// One process with its links.
    struct node {
        std::unique_ptr<node_process> process;
        std::unique_ptr<platform::standins::standin_store_server> store;
        std::unique_ptr<fault_proxy> store_link;
        /// Gateways only.
        std::unique_ptr<fault_proxy> caller_link;
    };
    struct endpoint {
        std::unique_ptr<platform::standins::standin_engine> engine;
        std::unique_ptr<platform::standins::standin_endpoint> server;
        std::unique_ptr<fault_proxy> link;
        std::string address;
        std::string domain;
        std::uint64_t lives = 1;
    };

    std::vector<node>& gateways() { return gateways_; }
    std::vector<node>& agents() { return agents_; }
    std::vector<endpoint>& ranks() { return ranks_; }
    std::vector<endpoint>& plain() { return plain_; }
    platform::standins::standin_store& store() { return store_; }
    fakes::rank_group& group() { return group_; }
    judge& verdicts() { return judge_; }
    caller_world& world() { return world_; }
    const core::asio::any_io_executor& executor() const { return executor_; }

    /// Starts the process again if it has ended.
    void ensure_running(std::size_t gateway);
    /// Writes the endpoint's entry.
    void register_endpoint(const endpoint& e, bool draining);
    void remove_entry(const endpoint& e);
    /// The endpoint begins a new life under a new name.
    void renew(endpoint& e);
    /// Acknowledges a changed configuration.
    void declare(declared_configuration changed);

private:
    std::string place(unsigned block, std::size_t number) const;
    void build_gateway(std::size_t i);
    void build_rank(std::size_t i);
    void build_plain(std::size_t i);
    node make_node(const std::string& name, const std::string& settings, std::size_t store_number);
    void build_link(endpoint& e, unsigned block, std::size_t i);
    template <class Handler>
    void listen(const core::asio::ip::tcp::endpoint& at, Handler& handler);
    core::task<void> run_group();
    core::task<void> watch_own_lag();

    core::asio::any_io_executor executor_;
    site_options options_;
    judge& judge_;
    std::mt19937_64 random_;
    platform::standins::standin_store store_;
    rankcontrol::layout_shape shape_;
    fakes::rank_group group_;
    std::vector<node> gateways_;
    std::vector<node> agents_;
    std::vector<endpoint> ranks_;
    std::vector<endpoint> plain_;
    std::vector<std::unique_ptr<core::asio::ip::tcp::acceptor>> listeners_;
    caller_world world_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::size_t callers_at_work_ = 0;
};

} // namespace currantpitch::soak
