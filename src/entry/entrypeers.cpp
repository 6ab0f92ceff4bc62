#include "entry/entrypeers.h"

#include "admission/admissionconstants.h"
#include "core/eventlog.h"
#include "entry/entryconstants.h"
#include "wire/packer.h"
#include "wire/unpacker.h"

namespace currantpitch::entry {

using membership::peer_hello;
using membership::presence;

entry_peers::entry_peers(entry_context& context, objectstore::http_store& store,
                         ledger_directory& ledger)
    : context_(context), ledger_(ledger), feed_(store, disseminator_, context.random()),
      hub_(std::make_shared<membership::peer_hub>(
          context.executor,
          peer_hello{context.settings.host, context.settings.failure_domain, context.incarnation})),
      presence_(context.settings.host, context.incarnation),
      fleet_(context.settings.failure_domain),
      // The wall clock keeps the numbers above those of earlier incarnations of this entry.
      demand_sequence_(
          static_cast<std::uint64_t>(core::runtime_clock::wall_now().time_since_epoch().count())),
      last_peer_loss_(core::runtime_clock::now())
{
    context_.configuration = &disseminator_.local_replica();
    ledger_.set_peers(hub_);
    feed_.must_watch = [this] {
        return must_watch();
    };
    feed_.on_update = [this](std::vector<intents::sync_outgoing> messages) {
        send_all(std::move(messages));
        process_applied();
    };
    hub_->on_peer_up = [this](const peer_hello& peer) {
        on_peer_up(peer);
    };
    hub_->on_peer_down = [this](const peer_hello& peer) {
        on_peer_down(peer);
    };
    hub_->on_heartbeat = [this](const peer_hello& peer,
                                const membership::peer_heartbeat& heartbeat) {
        update_presence(peer, heartbeat.leaving ? presence::leaving : presence::up);
    };
    hub_->on_message = [this](const core::host_id& from, std::uint8_t type,
                              const std::string& payload) {
        on_message(from, type, payload);
    };
}

void entry_peers::start()
{
    core::spawn(context_.executor, feed_.run());
    core::spawn(context_.executor, report_loop());
    for (const settings::address& seed : context_.settings.seed_peers) {
        core::spawn(context_.executor, seed_loop(seed));
    }
    update_targets();
}

// Connects to a seed address repeatedly until this process has a configuration.
core::task<void> entry_peers::seed_loop(settings::address seed)
{
    while (!disseminator_.has_content()) {
        co_await core::sleep_for(intents::relay_timeout);
        if (!disseminator_.has_content()) {
            co_await hub_->dial_once(seed);
        }
    }
}

void entry_peers::stop()
{
    hub_->stop();
}

core::task<void> entry_peers::serve(std::shared_ptr<wire::framed_connection> connection,
                                    peer_hello hello)
{
    return hub_->serve(std::move(connection), std::move(hello));
}

void entry_peers::announce_leaving()
{
    hub_->set_leaving();
    const std::optional<membership::presence_report> report =
        presence_.observe(context_.settings.host, context_.incarnation, presence::leaving);
    if (report) {
        hub_->send_to_all(wire::encode(*report));
    }
}

std::vector<intents::sync_member> entry_peers::members() const
{
    std::vector<intents::sync_member> list;
    list.push_back({context_.settings.host, context_.settings.failure_domain});
    for (const std::pair<const core::host_id, intents::versioned<intents::host_spec>>& entry :
         context_.catalog.hosts()) {
        const intents::host_spec& spec = entry.second.spec;
        const bool down = presence_.state_of(entry.first, spec.incarnation) == presence::down;
        const bool is_member = spec.role == intents::host_role::entry && !down &&
                               spec.state == intents::host_state::live &&
                               entry.first != context_.settings.host;
        if (is_member) {
            list.push_back({entry.first, spec.failure_domain});
        }
    }
    return list;
}

void entry_peers::update_targets()
{
    const std::vector<intents::sync_member> known = members();
    relays_ = intents::relays_of(known);
    fleet_.set_relay(relays_.contains(context_.settings.host));
    std::map<core::host_id, core::asio::ip::tcp::endpoint> targets;
    const intents::sync_member self{context_.settings.host, context_.settings.failure_domain};
    for (const core::host_id& peer : intents::peers_to_dial(self, known)) {
        const auto host = context_.catalog.hosts().find(peer);
        const core::result<core::asio::ip::tcp::endpoint> address =
            wire::parse_address(host->second.spec.peer_address);
        if (address) {
            targets[peer] = address.value();
        }
    }
    std::vector<core::host_id> hosts;
    std::set<core::failure_domain_id> domains;
    for (const intents::sync_member& m : known) {
        hosts.push_back(m.host);
        domains.insert(m.failure_domain);
    }
    ledger_.set_entries(std::move(hosts));
    fleet_.keep_domains(domains);
    hub_->set_targets(targets);
}

bool entry_peers::must_watch() const
{
    if (relays_.contains(context_.settings.host)) {
        return true;
    }
    for (const core::host_id& peer : hub_->connected()) {
        if (relays_.contains(peer)) {
            return false;
        }
    }
    return core::runtime_clock::now() - last_peer_loss_ > intents::relay_timeout;
}

void entry_peers::send_all(std::vector<intents::sync_outgoing> messages)
{
    for (const intents::sync_outgoing& m : messages) {
        const std::string payload =
            std::visit([](const auto& message) { return wire::encode(message); }, m.message);
        hub_->send(m.peer, payload);
    }
}

void entry_peers::process_applied()
{
    const std::vector<objectstore::object> applied = disseminator_.take_applied();
    if (applied.empty()) {
        return;
    }
    for (const objectstore::object& o : applied) {
        context_.catalog.update(o);
        core::log_event("configuration_applied")
            .field("kind", o.key.kind)
            .field("name", o.key.name)
            .field("version", o.version)
            .field("deleted", o.deleted);
    }
    fleet_.on_member(context_.settings.host, disseminator_.complete());
    update_targets();
    on_applied(applied);
}

void entry_peers::on_peer_up(const peer_hello& peer)
{
    update_presence(peer, presence::up);
    send_all(disseminator_.on_peer_up(peer.host));
    for (const membership::presence_report& report : presence_.reports()) {
        hub_->send(peer.host, wire::encode(report));
    }
}

void entry_peers::on_peer_down(const peer_hello& peer)
{
    disseminator_.on_peer_down(peer.host);
    fleet_.remove_member(peer.host);
    last_peer_loss_ = core::runtime_clock::now();
    update_presence(peer, presence::down);
}

void entry_peers::update_presence(const peer_hello& peer, presence state)
{
    const std::optional<membership::presence_report> report =
        presence_.observe(peer.host, peer.incarnation, state);
    if (report) {
        hub_->send_to_all(wire::encode(*report));
        core::log_event("presence")
            .field("subject", peer.host)
            .field("incarnation", peer.incarnation)
            .field("state", static_cast<int>(state));
        update_targets();
    }
}

void entry_peers::on_message(const core::host_id& from, std::uint8_t type,
                             const std::string& payload)
{
    const core::time_point now = core::runtime_clock::now();
    switch (type) {
    case intents::sync_status_type: {
        const core::result<intents::sync_status> m = wire::decode<intents::sync_status>(payload);
        if (m) {
            const auto host = context_.catalog.hosts().find(from);
            if (host != context_.catalog.hosts().end() &&
                host->second.spec.failure_domain == context_.settings.failure_domain) {
                fleet_.on_member(from, m.value().complete);
            }
            send_all(disseminator_.on_status(from, m.value(), now));
        }
        break;
    }
    case intents::sync_changes_type: {
        const core::result<intents::sync_changes> m = wire::decode<intents::sync_changes>(payload);
        if (m) {
            send_all(disseminator_.on_changes(from, m.value(), now));
            process_applied();
        }
        break;
    }
    case intents::domain_summary_type: {
        const core::result<intents::domain_summary> m =
            wire::decode<intents::domain_summary>(payload);
        if (m) {
            fleet_.on_domain(m.value());
        }
        break;
    }
    case intents::fleet_summary_type: {
        const core::result<intents::fleet_summary> m =
            wire::decode<intents::fleet_summary>(payload);
        if (m) {
            fleet_.on_fleet(m.value());
        }
        break;
    }
    case membership::presence_report_type:
        on_presence(from, payload);
        break;
    case admission::demand_report_type:
        on_demand(from, payload);
        break;
    case admission::crash_report_type:
    case admission::suspicion_clearance_type:
        on_crash_report(from, payload);
        break;
    case actions::ledger_request_type: {
        core::result<actions::ledger_request> m = wire::decode<actions::ledger_request>(payload);
        if (m) {
            ledger_.on_request(from, std::move(m.value()));
        }
        break;
    }
    case actions::ledger_reply_type: {
        const core::result<actions::ledger_reply> m = wire::decode<actions::ledger_reply>(payload);
        if (m) {
            ledger_.on_reply(m.value());
        }
        break;
    }
    default:
        core::counter_for("peer_messages_unknown_total").add();
        break;
    }
}

void entry_peers::on_presence(const core::host_id& from, const std::string& payload)
{
    const core::result<membership::presence_report> m =
        wire::decode<membership::presence_report>(payload);
    if (m && presence_.apply(m.value())) {
        hub_->send_to_all(payload, from);
        update_targets();
    }
}

void entry_peers::on_demand(const core::host_id& from, const std::string& payload)
{
    const core::result<admission::demand_report> m =
        wire::decode<admission::demand_report>(payload);
    if (!m || m.value().entry == context_.settings.host ||
        last_demand_sequences_[m.value().entry] >= m.value().sequence) {
        return;
    }
    last_demand_sequences_[m.value().entry] = m.value().sequence;
    for (const admission::workspace_demand& d : m.value().demands) {
        context_.service(d.service).gate.on_peer_demand({m.value().entry, d.workspace, d.demand},
                                                        core::runtime_clock::now());
    }
    const bool small_fleet = members().size() <= max_entries_for_demand;
    if (relays_.contains(context_.settings.host) && small_fleet) {
        hub_->send_to_all(payload, from);
    }
}

void entry_peers::on_crash_report(const core::host_id& from, const std::string& payload)
{
    const core::result<admission::crash_report> crash =
        wire::decode<admission::crash_report>(payload);
    if (crash) {
        const admission::crash_report& r = crash.value();
        if (!announced_crashes_.insert({r.fingerprint, r.endpoint_incarnation}).second) {
            return;
        }
        context_.crashes.on_crash({admission::fingerprint(r.fingerprint), r.workspace, r.endpoint,
                                   r.failure_domain, r.endpoint_incarnation, r.isolated,
                                   core::runtime_clock::now() - r.age});
        hub_->send_to_all(payload, from);
        return;
    }
    const core::result<admission::suspicion_clearance> cleared =
        wire::decode<admission::suspicion_clearance>(payload);
    const bool suspect_cleared =
        cleared && context_.crashes.suspicion_of(
                       admission::fingerprint(cleared.value().fingerprint),
                       core::runtime_clock::now()) == admission::suspicion_level::suspect;
    if (suspect_cleared) {
        context_.crashes.on_success(admission::fingerprint(cleared.value().fingerprint));
        hub_->send_to_all(payload, from);
    }
}

void entry_peers::announce_crash(const admission::crash_record& record)
{
    admission::crash_report r;
    r.fingerprint = record.request.str();
    r.workspace = record.workspace;
    r.endpoint = record.endpoint;
    r.failure_domain = record.failure_domain;
    r.endpoint_incarnation = record.endpoint_incarnation;
    r.isolated = record.isolated;
    announced_crashes_.insert({r.fingerprint, r.endpoint_incarnation});
    hub_->send_to_all(wire::encode(r));
}

void entry_peers::announce_clearance(const admission::fingerprint& request)
{
    hub_->send_to_all(wire::encode(admission::suspicion_clearance{request.str()}));
}

core::task<void> entry_peers::report_loop()
{
    while (true) {
        co_await core::sleep_for(report_interval);
        fleet_.on_member(context_.settings.host, disseminator_.complete());
        send_all(disseminator_.statuses());
        const bool relay = relays_.contains(context_.settings.host);
        for (const core::host_id& peer : hub_->connected()) {
            if (relay && relays_.contains(peer)) {
                hub_->send(peer, wire::encode(fleet_.own_domain()));
            }
            else if (relay) {
                hub_->send(peer, wire::encode(fleet_.fleet()));
            }
        }
        report_demand();
        // Bounds the memory for announced crashes. A repeated report does no harm.
        if (announced_crashes_.size() > admission::max_suspects) {
            announced_crashes_.clear();
        }
    }
}

void entry_peers::report_demand()
{
    admission::demand_report report;
    report.entry = context_.settings.host;
    report.sequence = ++demand_sequence_;
    for (const std::pair<const core::service_id, std::unique_ptr<service_state>>& entry :
         context_.services) {
        for (const admission::peer_demand& d : entry.second->gate.demands(context_.settings.host)) {
            report.demands.push_back({entry.first, d.workspace, d.demand});
        }
    }
    hub_->send_to_all(wire::encode(report));
}

std::vector<membership::known_entry> entry_peers::entries() const
{
    std::vector<membership::known_entry> list;
    for (const std::pair<const core::host_id, intents::versioned<intents::host_spec>>& entry :
         context_.catalog.hosts()) {
        const intents::host_spec& spec = entry.second.spec;
        if (spec.role != intents::host_role::entry) {
            continue;
        }
        const presence state = presence_.state_of(entry.first, spec.incarnation);
        const bool self = entry.first == context_.settings.host;
        membership::known_entry known;
        known.host = entry.first;
        known.failure_domain = spec.failure_domain;
        known.caller_address = spec.caller_address;
        known.leaving = spec.state == intents::host_state::leaving || state == presence::leaving ||
                        (self && context_.stopping);
        known.reachable = self || state == presence::up;
        list.push_back(std::move(known));
    }
    return list;
}

} // namespace currantpitch::entry
