#pragma once

#include "core/task.h"
#include "core/timer.h"
#include "membership/membershipmessages.h"
#include "wire/framedconnection.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace currantpitch::membership {

/// Connections of an entry with its peers, with one task for each peer. A new connection with a
/// peer replaces the older one. A connection on which nothing arrives for the heartbeat timeout is
/// closed.
class peer_hub : public std::enable_shared_from_this<peer_hub> {
public:
    peer_hub(const core::asio::any_io_executor& executor, peer_hello self);

    /// Sets the peers to which this entry connects, and closes the connections to former ones.
    void set_targets(const std::map<core::host_id, core::asio::ip::tcp::endpoint>& targets);
    /// Serves a connection that a peer has opened, after its hello has been received.
    core::task<void> serve(std::shared_ptr<wire::framed_connection> connection, peer_hello hello);
    /// Connects once to an address whose process is unknown, and serves the connection.
    core::task<void> dial_once(core::asio::ip::tcp::endpoint address);
    /// Ends all connections and tasks.
    void stop();

    bool send(const core::host_id& peer, std::string payload);
    /// Sends to all connected peers except one.
    void send_to_all(const std::string& payload, const core::host_id& except = {});
    std::vector<core::host_id> connected() const;
    void set_leaving() { leaving_ = true; }
    /// Bytes sent and received on the current connections.
    std::uint64_t bytes() const;

    std::function<void(const peer_hello&)> on_peer_up;
    std::function<void(const peer_hello&)> on_peer_down;
    std::function<void(const peer_hello&, const peer_heartbeat&)> on_heartbeat;
    std::function<void(const core::host_id&, std::uint8_t, const std::string&)> on_message;

private:
    struct dial_target {
        core::asio::ip::tcp::endpoint address;
        core::timer retry_timer;
        bool active = true;

        dial_target(const core::asio::any_io_executor& e, core::asio::ip::tcp::endpoint a)
            : address(std::move(a)), retry_timer(e)
        {
        }
    };

    core::task<void> dial(core::host_id peer, std::shared_ptr<dial_target> target);
    core::task<core::result<peer_hello>> receive_hello(wire::framed_connection& connection);
    core::task<void> run_connection(std::shared_ptr<wire::framed_connection> connection,
                                    peer_hello peer);
    core::task<void> read_loop(wire::framed_connection& connection, const peer_hello& peer);
    core::task<void> heartbeat_loop(wire::framed_connection& connection);
    bool on_frame(const peer_hello& peer, const std::string& payload);

    core::asio::any_io_executor executor_;
    peer_hello self_;
    bool leaving_ = false;
    bool stopped_ = false;
    std::map<core::host_id, std::shared_ptr<dial_target>> targets_;
    std::map<core::host_id, std::shared_ptr<wire::framed_connection>> connections_;
};

} // namespace currantpitch::membership
