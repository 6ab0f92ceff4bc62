#pragma once

#include "core/task.h"
#include "http/clientconnection.h"
#include "soak/judge.h"

#include <random>
#include <string>
#include <vector>

namespace currantpitch::soak {

/// Where callers find a gateway.
struct gateway_place {
    /// As the gateways name it, "a.b.c.d:port".
    std::string advertised;
    core::asio::ip::tcp::endpoint directory;
    /// The proxy before its listener for callers.
    core::asio::ip::tcp::endpoint callers;
    std::string domain;
};

/// What callers know of the site.
struct caller_world {
    std::vector<gateway_place> gateways;
    declared_configuration declared;
    /// Keys and routes that were taken away; some callers go on using them.
    std::vector<std::string> old_keys;
    std::vector<declared_route> old_routes;
    /// Events of a whole stream.
    std::uint64_t stream_events = 0;
    bool over = false;
};

/// One caller: asks for addresses, keeps the answer for a while, and sends one request after
/// another until the world is over. Some requests it leaves early.
class caller {
public:
    caller(caller_world& world, judge& verdicts, std::size_t number, std::uint64_t seed);
    core::task<void> run();

private:
    core::task<void> learn_addresses();
    std::optional<std::size_t> pick_gateway();
    std::pair<sent_call, platform::standins::planned_call> next_call(std::size_t gateway);
    core::task<void> make_call(std::size_t gateway);
    core::task<core::result<void>> reach(std::size_t gateway);
    core::task<call_end> exchange(const platform::standins::planned_call& call);
    core::task<void> read_plain(const platform::standins::planned_call& call,
                                const http::response& head, core::time_point deadline,
                                call_end& end);
    core::task<void> read_stream(const platform::standins::planned_call& call,
                                 core::time_point deadline, call_end& end);
    bool chance(double share) { return std::bernoulli_distribution(share)(random_); }

    caller_world& world_;
    judge& judge_;
    std::string name_;
    std::mt19937_64 random_;
    std::uint64_t made_ = 0;
    std::vector<std::string> addresses_;
    core::time_point learned_;
    std::chrono::milliseconds keeps_;
    std::optional<http::client_connection> connection_;
    std::size_t connected_to_ = 0;
};

} // namespace currantpitch::soak
