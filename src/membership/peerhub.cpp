#include "membership/peerhub.h"

#include "core/counters.h"
#include "core/eventlog.h"
#include "membership/membershipconstants.h"
#include "wire/packer.h"
#include "wire/unpacker.h"
#include "wire/wireconstants.h"

namespace currantpitch::membership {

using core::errc;
using core::error;
using namespace core::asio::experimental::awaitable_operators;

peer_hub::peer_hub(const core::asio::any_io_executor& executor, peer_hello self)
    : executor_(executor), self_(std::move(self))
{
}

void peer_hub::set_targets(const std::map<core::host_id, core::asio::ip::tcp::endpoint>& targets)
{
    for (auto it = targets_.begin(); it != targets_.end();) {
        const auto kept = targets.find(it->first);
        if (kept != targets.end() && kept->second == it->second->address) {
            ++it;
            continue;
        }
        it->second->active = false;
        it->second->retry_timer.cancel();
        const auto connection = connections_.find(it->first);
        if (connection != connections_.end()) {
            connection->second->close();
        }
        it = targets_.erase(it);
    }
    for (const std::pair<const core::host_id, core::asio::ip::tcp::endpoint>& entry : targets) {
        if (targets_.contains(entry.first) || stopped_) {
            continue;
        }
        const std::shared_ptr<dial_target> target =
            std::make_shared<dial_target>(executor_, entry.second);
        targets_[entry.first] = target;
        core::spawn(executor_, dial(entry.first, target));
    }
}

void peer_hub::stop()
{
    stopped_ = true;
    set_targets({});
    for (const std::pair<const core::host_id, std::shared_ptr<wire::framed_connection>>& entry :
         connections_) {
        entry.second->close();
    }
}

core::task<void> peer_hub::dial(core::host_id peer, std::shared_ptr<dial_target> target)
{
    const std::shared_ptr<peer_hub> keep_alive = shared_from_this();
    std::chrono::milliseconds delay = initial_dial_delay;
    while (target->active) {
        core::result<core::asio::ip::tcp::socket> socket = co_await wire::connect(
            target->address, core::runtime_clock::now() + peer_hello_timeout);
        if (socket) {
            const std::shared_ptr<wire::framed_connection> connection =
                std::make_shared<wire::framed_connection>(std::move(socket.value()));
            connection->send(wire::encode(self_));
            const core::result<peer_hello> hello = co_await receive_hello(*connection);
            // Another process may have taken over the address.
            if (hello && hello.value().host == peer) {
                delay = initial_dial_delay;
                co_await run_connection(connection, hello.value());
            }
        }
        if (target->active) {
            co_await target->retry_timer.wait_until(core::runtime_clock::now() + delay);
            delay = std::min(delay * 2, max_dial_delay);
        }
    }
}

core::task<void> peer_hub::dial_once(core::asio::ip::tcp::endpoint address)
{
    const std::shared_ptr<peer_hub> keep_alive = shared_from_this();
    core::result<core::asio::ip::tcp::socket> socket =
        co_await wire::connect(address, core::runtime_clock::now() + peer_hello_timeout);
    if (!socket) {
        co_return;
    }
    const std::shared_ptr<wire::framed_connection> connection =
        std::make_shared<wire::framed_connection>(std::move(socket.value()));
    connection->send(wire::encode(self_));
    const core::result<peer_hello> hello = co_await receive_hello(*connection);
    if (hello && hello.value().host != self_.host) {
        co_await run_connection(connection, hello.value());
    }
}

core::task<core::result<peer_hello>> peer_hub::receive_hello(wire::framed_connection& connection)
{
    const core::result<std::string> frame =
        co_await wire::receive_first(connection, core::runtime_clock::now() + peer_hello_timeout);
    if (!frame) {
        co_return frame.error();
    }
    co_return wire::decode<peer_hello>(frame.value());
}

core::task<void> peer_hub::serve(std::shared_ptr<wire::framed_connection> connection,
                                 peer_hello hello)
{
    const std::shared_ptr<peer_hub> keep_alive = shared_from_this();
    connection->send(wire::encode(self_));
    co_await run_connection(connection, hello);
}

core::task<void> peer_hub::run_connection(std::shared_ptr<wire::framed_connection> connection,
                                          peer_hello peer)
{
    const auto previous = connections_.find(peer.host);
    if (previous != connections_.end()) {
        previous->second->close();
    }
    connections_[peer.host] = connection;
    core::log_event("peer_up").field("peer", peer.host).field("incarnation", peer.incarnation);
    on_peer_up(peer);
    co_await (read_loop(*connection, peer) || connection->write_loop() ||
              heartbeat_loop(*connection));
    connection->close();
    const auto current = connections_.find(peer.host);
    if (current != connections_.end() && current->second == connection) {
        connections_.erase(current);
        core::log_event("peer_down").field("peer", peer.host);
        on_peer_down(peer);
    }
}

core::task<void> peer_hub::read_loop(wire::framed_connection& connection, const peer_hello& peer)
{
    while (!connection.closed()) {
        const core::result<std::string> frame = co_await connection.receive();
        if (!frame || !on_frame(peer, frame.value())) {
            core::log_event("peer_read_end")
                .field("peer", peer.host)
                .field("reason", frame ? "malformed message" : frame.error().detail);
            co_return;
        }
    }
}

core::task<void> peer_hub::heartbeat_loop(wire::framed_connection& connection)
{
    while (!connection.closed()) {
        if (core::runtime_clock::now() - connection.last_received() > wire::heartbeat_timeout) {
            core::counter_for("peers_silent_total").add();
            co_return;
        }
        // Any frame shows that this process is running, so only an idle connection needs a
        // heartbeat. A leaving process always sends one, since only heartbeats carry the leaving
        // flag.
        const core::duration idle_time = core::runtime_clock::now() - connection.last_queued();
        if (leaving_ || idle_time >= wire::heartbeat_interval) {
            connection.send(wire::encode(peer_heartbeat{leaving_}));
        }
        co_await core::sleep_for(wire::heartbeat_interval);
    }
}

bool peer_hub::on_frame(const peer_hello& peer, const std::string& payload)
{
    const core::result<std::uint8_t> type = wire::message_type(payload);
    if (!type) {
        return false;
    }
    if (type.value() != peer_heartbeat_type) {
        on_message(peer.host, type.value(), payload);
        return true;
    }
    const core::result<peer_heartbeat> heartbeat = wire::decode<peer_heartbeat>(payload);
    if (heartbeat) {
        on_heartbeat(peer, heartbeat.value());
    }
    return heartbeat.has_value();
}

bool peer_hub::send(const core::host_id& peer, std::string payload)
{
    const auto found = connections_.find(peer);
    return found != connections_.end() && found->second->send(std::move(payload));
}

void peer_hub::send_to_all(const std::string& payload, const core::host_id& except)
{
    for (const std::pair<const core::host_id, std::shared_ptr<wire::framed_connection>>& entry :
         connections_) {
        if (entry.first != except) {
            entry.second->send(payload);
        }
    }
}

std::vector<core::host_id> peer_hub::connected() const
{
    std::vector<core::host_id> hosts;
    for (const std::pair<const core::host_id, std::shared_ptr<wire::framed_connection>>& entry :
         connections_) {
        hosts.push_back(entry.first);
    }
    return hosts;
}

std::uint64_t peer_hub::bytes() const
{
    std::uint64_t total = 0;
    for (const std::pair<const core::host_id, std::shared_ptr<wire::framed_connection>>& entry :
         connections_) {
        total += entry.second->bytes_sent() + entry.second->bytes_received();
    }
    return total;
}

} // namespace currantpitch::membership
