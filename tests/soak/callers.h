#pragma once

#include "core/task.h"
#include "http/clientconnection.h"
#include "soak/guaranteechecker.h"

#include <random>
#include <string>
#include <vector>

namespace currantpitch::soak {

/// Addresses at which callers reach a gateway.
struct gateway_address {
    /// Address as the gateways list it, "a.b.c.d:port".
    std::string advertised;
    core::asio::ip::tcp::endpoint directory;
    /// Fault proxy in front of the listener for callers.
    core::asio::ip::tcp::endpoint callers;
    std::string domain;
};

/// Site as the callers see it.
struct caller_environment {
    std::vector<gateway_address> gateways;
    declared_configuration declared;
    /// Keys and routes that were removed from the configuration. Some callers keep using them.
    std::vector<std::string> revoked_keys;
    std::vector<declared_route> removed_routes;
    /// Part that some callers' prompts contain and that crashes endpoints. Empty if there is none.
    std::string crashing_part;
    /// Last segment of the targets that crash endpoints. Empty if there is none.
    std::string crashing_target_end;
    /// Number of events in a complete stream.
    std::uint64_t stream_events = 0;
    bool stopping = false;
};

/// One caller. Queries the directory for gateway addresses, keeps them for a limited time, and
/// sends one request after another until the run stops. Abandons some requests before their answer.
class caller {
public:
    caller(caller_environment& environment, guarantee_checker& checker, std::size_t number,
           std::uint64_t seed);
    core::task<void> run();

private:
    core::task<void> fetch_addresses();
    std::optional<std::size_t> pick_gateway();
    std::pair<sent_call, platform::standins::planned_call> next_call(std::size_t gateway);
    core::task<void> make_call(std::size_t gateway);
    core::task<core::result<void>> ensure_connected(std::size_t gateway);
    core::task<call_result> exchange(const platform::standins::planned_call& call);
    core::task<void> read_plain(const platform::standins::planned_call& call,
                                const http::response& head, core::time_point deadline,
                                call_result& result);
    core::task<void> read_stream(const platform::standins::planned_call& call,
                                 core::time_point deadline, call_result& result);
    bool with_probability(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }

    caller_environment& environment_;
    guarantee_checker& checker_;
    std::string name_;
    std::mt19937_64 random_;
    /// Chooses the prompts, so that they do not change what else a seed gives.
    std::mt19937_64 prompt_random_;
    std::uint64_t request_count_ = 0;
    std::vector<std::string> addresses_;
    core::time_point fetched_at_;
    std::chrono::milliseconds address_lifetime_;
    std::optional<http::client_connection> connection_;
    std::size_t connected_gateway_ = 0;
};

} // namespace currantpitch::soak
