#pragma once

#include "membership/peerhub.h"
#include "wire/unpacker.h"

#include "CppUTest/TestHarness.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace currantpitch::testing {

/// The connections of an entry with its peers, on loopback.
struct hub_process {
    hub_process(core::asio::io_context& io, const std::string& name)
        : hub(std::make_shared<membership::peer_hub>(
              io.get_executor(),
              membership::peer_hello{core::host_id(name), core::failure_domain_id("fd"),
                                     core::incarnation{1}})),
          acceptor(io, core::asio::ip::tcp::endpoint(core::asio::ip::make_address("127.0.0.1"), 0))
    {
        hub->on_peer_up = [](const membership::peer_hello&) {
        };
        hub->on_peer_down = [](const membership::peer_hello&) {
        };
        hub->on_heartbeat = [](const membership::peer_hello&, const membership::peer_heartbeat&) {
        };
        core::spawn(io.get_executor(), accept());
    }
    core::task<void> accept()
    {
        core::asio::ip::tcp::socket socket =
            co_await acceptor.async_accept(core::asio::use_awaitable);
        std::shared_ptr<wire::framed_connection> connection =
            std::make_shared<wire::framed_connection>(std::move(socket));
        const core::result<std::string> frame = co_await connection->receive();
        const core::result<membership::peer_hello> hello =
            wire::decode<membership::peer_hello>(frame.value());
        co_await hub->serve(connection, hello.value());
    }

    std::shared_ptr<membership::peer_hub> hub;
    core::asio::ip::tcp::acceptor acceptor;
};

/// Runs the context until the condition holds; fails the test if it does not within the limit.
inline void run_until(core::asio::io_context& io, const std::function<bool()>& reached,
                      std::chrono::milliseconds limit = std::chrono::seconds(5))
{
    for (int i = 0; i < limit / std::chrono::milliseconds(5) && !reached(); ++i) {
        io.restart();
        io.run_for(std::chrono::milliseconds(5));
    }
    CHECK(reached());
}

/// Connects two processes, the first of which has the smaller name.
inline void connect(core::asio::io_context& io, hub_process& a, hub_process& b,
                    const core::host_id& name_of_b)
{
    a.hub->set_targets({{name_of_b, b.acceptor.local_endpoint()}});
    run_until(io, [&] { return !a.hub->connected().empty() && !b.hub->connected().empty(); });
}

} // namespace currantpitch::testing
