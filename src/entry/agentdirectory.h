#pragma once

#include "entry/entrycontext.h"
#include "sessions/agentlink.h"

#include <map>
#include <memory>
#include <set>

namespace currantpitch::entry {

/// Sessions of an entry with the agents of the endpoints that it uses. Opens and closes sessions as
/// the configuration changes, and applies the reports of each session to the endpoint pool of the
/// service.
class agent_directory {
public:
    explicit agent_directory(entry_context& context) : context_(context) {}

    /// Updates sessions and pools to match the configuration.
    void reconcile();
    /// Ends all sessions.
    void stop();

    /// Returns the link to the agent of an endpoint, or null when there is none.
    sessions::agent_link* link_of(const core::endpoint_id& endpoint);
    /// Returns the link to an agent, or null when there is none.
    sessions::agent_link* link_at(const core::host_id& agent);
    /// Returns the link to an agent and keeps it from now on, even if this entry does not use the
    /// endpoint of the agent. Returns null when the configuration contains no such agent.
    sessions::agent_link* require_link(const core::host_id& agent);
    /// Returns the endpoint that the agent serves, if this entry has a link to the agent.
    std::optional<core::endpoint_id> endpoint_at(const core::host_id& agent) const;
    /// Number of connected sessions.
    std::size_t connected() const;
    /// Bytes sent and received in the current sessions.
    std::uint64_t bytes() const;

    /// Called when the session or the load of an endpoint has changed.
    std::function<void()> on_change;

private:
    struct connected_endpoint {
        core::service_id service;
        core::host_id host;
        core::failure_domain_id failure_domain;
        core::asio::ip::tcp::endpoint address;
        std::shared_ptr<sessions::agent_link> link;
        core::incarnation endpoint_incarnation;
        /// Hash of the object versions last sent to the agent.
        std::uint64_t sent_configuration_hash = 0;
    };

    std::set<core::endpoint_id> select_endpoints() const;
    void add(const core::endpoint_id& id, const intents::endpoint_spec& spec,
             const intents::host_spec& host);
    void remove(const core::endpoint_id& id);
    void refresh(const core::endpoint_id& id);
    void report_endpoint_restart(const core::endpoint_id& id, connected_endpoint& e,
                                 const sessions::load_report& load);
    std::vector<objectstore::object> configuration_for(const core::endpoint_id& id) const;
    void send_configuration(const core::endpoint_id& id, bool new_session);

    entry_context& context_;
    std::map<core::endpoint_id, connected_endpoint> endpoints_;
    std::map<core::host_id, core::endpoint_id> by_host_;
    std::uint64_t reconciled_update_count_ = 0;
    /// Agents that were queried about attempts of other entries.
    std::set<core::host_id> required_agents_;
};

} // namespace currantpitch::entry
