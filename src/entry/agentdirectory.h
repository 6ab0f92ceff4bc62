#pragma once

#include "entry/entrycontext.h"
#include "sessions/agentlink.h"

#include <map>
#include <memory>
#include <set>

namespace currantpitch::entry {

/// The sessions of an entry with the agents of the endpoints it uses. Follows the configuration:
/// new endpoints get a session, and each session's news go into the endpoint's pool.
class agent_directory {
public:
    explicit agent_directory(entry_context& context) : context_(context) {}

    /// Brings sessions and pools in line with the configuration.
    void reconcile();
    /// Ends all sessions.
    void stop();

    /// The session with the agent of an endpoint; null when there is none.
    sessions::agent_link* link_of(const core::endpoint_id& endpoint);
    sessions::agent_link* link_at(const core::host_id& agent);
    /// Keeps a session with the agent from now on, also when this entry does not use its endpoint.
    /// Null when the configuration does not know the agent.
    sessions::agent_link* require_link(const core::host_id& agent);
    /// Endpoint behind an agent.
    std::optional<core::endpoint_id> endpoint_at(const core::host_id& agent) const;
    std::size_t connected() const;
    /// Bytes sent and received in the present sessions.
    std::uint64_t bytes() const;

    /// Called when an endpoint's session or load has changed.
    std::function<void()> on_change;

private:
    struct connected_endpoint {
        core::service_id service;
        core::host_id host;
        core::failure_domain_id failure_domain;
        core::asio::ip::tcp::endpoint address;
        std::shared_ptr<sessions::agent_link> link;
        core::incarnation endpoint_incarnation;
        /// Hash of the versions that were last sent to the agent.
        std::uint64_t sent_configuration = 0;
    };

    std::set<core::endpoint_id> wanted() const;
    void add(const core::endpoint_id& id, const intents::endpoint_spec& spec,
             const intents::host_spec& host);
    void remove(const core::endpoint_id& id);
    void refresh(const core::endpoint_id& id);
    void note_death(connected_endpoint& e, const sessions::load_report& load);
    std::vector<objectstore::object> configuration_for(const core::endpoint_id& id) const;
    void configure(const core::endpoint_id& id, bool new_session);

    entry_context& context_;
    std::map<core::endpoint_id, connected_endpoint> endpoints_;
    std::map<core::host_id, core::endpoint_id> by_host_;
    std::uint64_t last_change_ = 0;
    /// Agents that were asked about attempts of other entries.
    std::set<core::host_id> required_;
};

} // namespace currantpitch::entry
