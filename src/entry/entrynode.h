#pragma once

#include "entry/requesthandler.h"

#include <memory>

namespace currantpitch::entry {

/// One entry process. Listens for callers and peers and serves their requests. A planned stop waits
/// for running requests up to the stop timeout.
class entry_node {
public:
    entry_node(const core::asio::any_io_executor& executor, settings::daemon_settings settings,
               std::uint64_t seed);

    /// Listens and serves until a planned stop has completed.
    core::task<core::result<void>> run();
    /// Begins a planned stop. The entry is first removed from address answers, then refuses new
    /// work, and finally waits for the requests in flight.
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
    resource_api resource_api_;
    request_handler request_handler_;
    core::asio::ip::tcp::acceptor caller_listener_;
    core::asio::ip::tcp::acceptor peer_listener_;
    core::notifier stop_;
    core::revision registered_;
};

} // namespace currantpitch::entry
