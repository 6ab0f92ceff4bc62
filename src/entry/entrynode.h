#pragma once

#include "entry/callerfront.h"

#include <memory>

namespace currantpitch::entry {

/// One entry process: listens for callers and peers, serves, and stops without cutting anything
/// off.
class entry_node {
public:
    entry_node(const core::asio::any_io_executor& executor, settings::daemon_settings settings,
               std::uint64_t seed);

    /// Listens and serves until a planned stop has ended.
    core::task<core::result<void>> run();
    /// Begins the planned stop: addresses first, then new work, then what is in flight.
    void begin_stop(std::string_view reason);

private:
    core::result<void> listen();
    core::task<void> accept_peers();
    core::task<void> serve_peer(std::shared_ptr<wire::framed_connection> connection);
    core::task<void> tick_loop();
    core::task<void> registration_loop();
    core::task<core::result<void>> register_host(intents::host_state state);
    core::task<void> remove_host();
    core::task<void> stop_gracefully();
    void on_applied(const std::vector<objectstore::object>& objects);
    void configure_workspaces();
    void update_capacity();
    void apply_quarantines();
    core::task<void> publish(admission::quarantine_finding finding);
    core::task<void> drop_expired_quarantines();

    entry_context context_;
    objectstore::http_store store_;
    ledger_directory ledger_;
    agent_directory agents_;
    entry_peers peers_;
    call_runner calls_;
    resource_front resources_;
    caller_front front_;
    core::asio::ip::tcp::acceptor callers_;
    core::asio::ip::tcp::acceptor peer_listener_;
    core::notifier stop_;
    core::revision registered_;
};

} // namespace currantpitch::entry
