#include "entry/agentdirectory.h"

#include "core/eventlog.h"
#include "core/hashing.h"
#include "intents/syncmessages.h"
#include "membership/entryset.h"
#include "routing/routingconstants.h"
#include "wire/packer.h"

namespace currantpitch::entry {

void agent_directory::reconcile()
{
    if (reconciled_update_count_ == context_.catalog.update_count()) {
        return;
    }
    reconciled_update_count_ = context_.catalog.update_count();
    const intents::catalog& catalog = context_.catalog;
    std::set<core::endpoint_id> obsolete;
    for (const std::pair<const core::endpoint_id, connected_endpoint>& entry : endpoints_) {
        obsolete.insert(entry.first);
    }
    for (const core::endpoint_id& id : select_endpoints()) {
        const intents::endpoint_spec& spec = catalog.endpoints().at(id).spec;
        add(id, spec, catalog.hosts().at(spec.host).spec);
        obsolete.erase(id);
    }
    for (const core::endpoint_id& id : obsolete) {
        remove(id);
    }
}

// Selects at most max_endpoints_per_service endpoints of each service. The rendezvous hash spreads
// the entries evenly over the endpoints and each selection evenly over the failure domains.
std::set<core::endpoint_id> agent_directory::select_endpoints() const
{
    const intents::catalog& catalog = context_.catalog;
    std::map<core::service_id, std::vector<membership::entry_candidate>> by_service;
    std::map<core::host_id, core::endpoint_id> endpoint_on;
    for (const std::pair<const core::endpoint_id, intents::versioned<intents::endpoint_spec>>&
             entry : catalog.endpoints()) {
        const core::host_id& host = entry.second.spec.host;
        const auto known = catalog.hosts().find(host);
        const bool usable =
            known != catalog.hosts().end() && known->second.spec.role == intents::host_role::agent;
        if (usable) {
            by_service[entry.second.spec.service].push_back(
                {host, known->second.spec.failure_domain});
            endpoint_on[host] = entry.first;
        }
    }
    std::set<core::endpoint_id> chosen;
    for (const std::pair<const core::service_id, std::vector<membership::entry_candidate>>& s :
         by_service) {
        const std::string key = context_.settings.host.str() + "/" + s.first.str();
        for (const core::host_id& host :
             membership::choose_spread(key, s.second, routing::max_endpoints_per_service)) {
            chosen.insert(endpoint_on.at(host));
        }
    }
    for (const core::host_id& host : required_agents_) {
        const auto found = endpoint_on.find(host);
        if (found != endpoint_on.end()) {
            chosen.insert(found->second);
        }
    }
    return chosen;
}

sessions::agent_link* agent_directory::require_link(const core::host_id& agent)
{
    if (!by_host_.contains(agent) && required_agents_.insert(agent).second) {
        reconciled_update_count_ = 0;
        reconcile();
    }
    return link_at(agent);
}

void agent_directory::add(const core::endpoint_id& id, const intents::endpoint_spec& spec,
                          const intents::host_spec& host)
{
    const core::result<core::asio::ip::tcp::endpoint> address =
        wire::parse_address(host.peer_address);
    if (!address) {
        return;
    }
    const auto found = endpoints_.find(id);
    const bool unchanged = found != endpoints_.end() && found->second.address == address.value() &&
                           found->second.service == spec.service && found->second.host == spec.host;
    if (found != endpoints_.end() && !unchanged) {
        remove(id);
    }
    if (!unchanged) {
        connected_endpoint& e = endpoints_[id];
        e.service = spec.service;
        e.host = spec.host;
        e.failure_domain = host.failure_domain;
        e.address = address.value();
        e.link = std::make_shared<sessions::agent_link>(context_.executor, context_.settings.host,
                                                        context_.incarnation, spec.host, e.address,
                                                        context_.random());
        e.link->on_session([this, id] { send_configuration(id, true); });
        e.link->on_change([this, id] {
            refresh(id);
            if (on_change) {
                on_change();
            }
        });
        by_host_[spec.host] = id;
        core::spawn(context_.executor, e.link->run());
    }
    else {
        send_configuration(id, false);
    }
    refresh(id);
}

void agent_directory::remove(const core::endpoint_id& id)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    context_.service(found->second.service).pool.remove(id);
    found->second.link->on_change({});
    found->second.link->on_session({});
    found->second.link->stop();
    const auto host = by_host_.find(found->second.host);
    if (host != by_host_.end() && host->second == id) {
        by_host_.erase(host);
    }
    endpoints_.erase(found);
}

void agent_directory::refresh(const core::endpoint_id& id)
{
    const auto found = endpoints_.find(id);
    const auto spec = context_.catalog.endpoints().find(id);
    if (found == endpoints_.end() || spec == context_.catalog.endpoints().end()) {
        return;
    }
    connected_endpoint& e = found->second;
    const std::optional<sessions::timestamped_load>& load = e.link->load();
    routing::endpoint_state state;
    state.endpoint = id;
    state.failure_domain = e.failure_domain;
    state.concurrency = static_cast<std::uint32_t>(spec->second.spec.concurrency);
    const bool desired = spec->second.spec.desired == intents::desired_state::serving;
    state.usable =
        e.link->connected() && load && load->report.healthy && !load->report.leaving && desired;
    if (load) {
        state.concurrency = std::max<std::uint32_t>(load->report.concurrency, 1);
        state.report = routing::reported_load{load->report.running, load->received_at};
        report_endpoint_restart(id, e, load->report);
    }
    context_.service(e.service).pool.update(std::move(state));
}

void agent_directory::report_endpoint_restart(const core::endpoint_id& id, connected_endpoint& e,
                                              const sessions::load_report& load)
{
    const core::incarnation before = e.endpoint_incarnation;
    if (load.endpoint_incarnation == before || load.endpoint_incarnation == core::incarnation{}) {
        return;
    }
    e.endpoint_incarnation = load.endpoint_incarnation;
    if (before != core::incarnation{}) {
        context_.crashes.on_endpoint_failure(e.failure_domain, {id, before},
                                             core::runtime_clock::now());
    }
}

std::vector<objectstore::object>
agent_directory::configuration_for(const core::endpoint_id& id) const
{
    const intents::replica& replica = *context_.configuration;
    const intents::catalog& catalog = context_.catalog;
    std::vector<objectstore::object> objects;
    const auto add_object = [&replica, &objects](intents::resource_kind kind,
                                                 const std::string& name) {
        const objectstore::object* const o =
            replica.find({std::string(intents::to_string(kind)), name});
        if (o != nullptr) {
            objects.push_back(*o);
        }
    };
    const auto own = catalog.endpoints().find(id);
    if (own == catalog.endpoints().end()) {
        return objects;
    }
    const core::service_id& service = own->second.spec.service;
    add_object(intents::resource_kind::endpoint, id.str());
    if (!catalog.model_groups().contains(service)) {
        return objects;
    }
    add_object(intents::resource_kind::model_group, service.str());
    for (const core::endpoint_id& member : catalog.endpoints_of(service)) {
        add_object(intents::resource_kind::endpoint, member.str());
        add_object(intents::resource_kind::host, catalog.endpoints().at(member).spec.host.str());
    }
    return objects;
}

void agent_directory::send_configuration(const core::endpoint_id& id, bool new_session)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || !found->second.link->connected()) {
        return;
    }
    intents::agent_configuration message;
    message.objects = configuration_for(id);
    std::uint64_t hash = 0;
    for (const objectstore::object& o : message.objects) {
        message.complete = std::max(message.complete, o.version);
        hash = core::combine_hashes(hash, core::hash64(o.key.name, o.version.value));
    }
    if (hash == found->second.sent_configuration_hash && !new_session) {
        return;
    }
    found->second.sent_configuration_hash = hash;
    found->second.link->send(wire::encode(message));
}

void agent_directory::stop()
{
    while (!endpoints_.empty()) {
        remove(endpoints_.begin()->first);
    }
}

sessions::agent_link* agent_directory::link_of(const core::endpoint_id& endpoint)
{
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? nullptr : found->second.link.get();
}

sessions::agent_link* agent_directory::link_at(const core::host_id& agent)
{
    const auto found = by_host_.find(agent);
    return found == by_host_.end() ? nullptr : link_of(found->second);
}

std::optional<core::endpoint_id> agent_directory::endpoint_at(const core::host_id& agent) const
{
    const auto found = by_host_.find(agent);
    return found == by_host_.end() ? std::nullopt : std::optional(found->second);
}

std::size_t agent_directory::connected() const
{
    std::size_t count = 0;
    for (const std::pair<const core::endpoint_id, connected_endpoint>& entry : endpoints_) {
        count += entry.second.link->connected() ? 1 : 0;
    }
    return count;
}

std::uint64_t agent_directory::bytes() const
{
    std::uint64_t total = 0;
    for (const std::pair<const core::endpoint_id, connected_endpoint>& entry : endpoints_) {
        total += entry.second.link->bytes();
    }
    return total;
}

} // namespace currantpitch::entry
