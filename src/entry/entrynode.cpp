#include "entry/entrynode.h"

#include "admission/admissionconstants.h"
#include "core/counters.h"
#include "core/eventlog.h"
#include "entry/entryconstants.h"
#include "intents/hostregistration.h"
#include "intents/quarantinerecord.h"
#include "membership/entryset.h"
#include "objectstore/objectstoreconstants.h"
#include "wire/unpacker.h"
#include "wire/wireconstants.h"

namespace currantpitch::entry {

using core::errc;
using core::error;

namespace {

objectstore::call_context make_call_context(std::string_view cause)
{
    return {cause, core::runtime_clock::now() + objectstore::call_timeout};
}

std::string format_address(const core::asio::ip::tcp::endpoint& address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace

entry_node::entry_node(const core::asio::any_io_executor& executor,
                       settings::daemon_settings settings, std::uint64_t seed)
    : context_(executor, std::move(settings), seed),
      store_(executor, context_.settings.platform_address),
      ledger_(store_, executor, context_.settings.host, context_.settings.ledger_shards, seed),
      agents_(context_), peers_(context_, store_, ledger_), calls_(context_, agents_, ledger_),
      resource_api_(context_, store_, peers_),
      request_handler_(context_, agents_, peers_, calls_, resource_api_),
      caller_listener_(executor), peer_listener_(executor), stop_(executor)
{
    peers_.on_applied = [this](const std::vector<objectstore::object>& objects) {
        on_applied(objects);
    };
    agents_.on_change = [this] {
        update_capacity();
        request_handler_.process_waiting_requests();
    };
}

core::result<void> entry_node::listen()
{
    const core::result<void> caller_listening =
        wire::open_listener(caller_listener_, context_.settings.caller_address);
    if (!caller_listening) {
        return caller_listening;
    }
    return wire::open_listener(peer_listener_, context_.settings.peer_address);
}

core::task<core::result<void>> entry_node::run()
{
    const core::result<void> listening = listen();
    if (!listening) {
        co_return listening.error();
    }
    core::log_event("entry_start")
        .field("host", context_.settings.host)
        .field("failure_domain", context_.settings.failure_domain)
        .field("incarnation", context_.incarnation)
        .field("callers", format_address(context_.settings.caller_address));
    peers_.start();
    core::spawn(context_.executor, accept_peers());
    core::spawn(context_.executor, http::serve(caller_listener_, request_handler_));
    core::spawn(context_.executor, tick_loop());
    core::spawn(context_.executor, registration_loop());
    while (!context_.stopping) {
        co_await stop_.wait();
    }
    co_await stop_gracefully();
    co_return core::ok();
}

void entry_node::begin_stop(std::string_view reason)
{
    if (context_.stopping) {
        return;
    }
    core::log_event("entry_stop_begin")
        .field("reason", reason)
        .field("in_flight", context_.in_flight);
    context_.stopping = true;
    stop_.notify();
}

core::task<void> entry_node::accept_peers()
{
    while (peer_listener_.is_open()) {
        boost::system::error_code failure;
        core::asio::ip::tcp::socket socket = co_await peer_listener_.async_accept(
            core::asio::redirect_error(core::asio::use_awaitable, failure));
        if (failure) {
            co_await core::sleep_for(std::chrono::milliseconds(100));
            continue;
        }
        core::spawn(context_.executor,
                    serve_peer(std::make_shared<wire::framed_connection>(std::move(socket))));
    }
}

core::task<void> entry_node::serve_peer(std::shared_ptr<wire::framed_connection> connection)
{
    core::task<core::result<std::string>> reading = connection->receive();
    const core::result<std::string> first_frame = co_await core::with_deadline(
        std::move(reading), core::runtime_clock::now() + wire::heartbeat_timeout);
    const core::result<membership::peer_hello> hello =
        first_frame ? wire::decode<membership::peer_hello>(first_frame.value())
                    : core::result<membership::peer_hello>(first_frame.error());
    if (!hello) {
        core::counter_for("peer_hellos_refused_total").add();
        core::log_event("peer_hello_refused", core::log_event::level::warning)
            .field("reason", hello.error().detail);
        co_return;
    }
    co_await peers_.serve(std::move(connection), hello.value());
}

core::task<void> entry_node::tick_loop()
{
    int ticks = 0;
    while (true) {
        co_await core::sleep_for(tick_interval);
        request_handler_.process_waiting_requests();
        const core::time_point now = core::runtime_clock::now();
        for (admission::quarantine_finding& finding : context_.crashes.take_findings(now)) {
            core::spawn(context_.executor, publish(std::move(finding)));
        }
        if (++ticks % 100 == 0) {
            context_.crashes.expire(now);
            apply_quarantines();
            co_await drop_expired_quarantines();
        }
        core::gauge_for("requests_in_flight").set(static_cast<double>(context_.in_flight));
        core::gauge_for("peer_bytes").set(static_cast<double>(peers_.bytes()));
        core::gauge_for("agent_bytes").set(static_cast<double>(agents_.bytes()));
        core::gauge_for("configuration_revision").set(static_cast<double>(peers_.complete().value));
    }
}

core::task<void> entry_node::registration_loop()
{
    // Registers the host, and registers it again if its registration is removed.
    while (!context_.stopping) {
        const objectstore::object* const object =
            peers_.replica().find({"Host", context_.settings.host.str()});
        const auto own = context_.catalog.hosts().find(context_.settings.host);
        const bool current = object != nullptr && own != context_.catalog.hosts().end() &&
                             own->second.spec.incarnation == context_.incarnation;
        if (!current) {
            const core::result<void> registration =
                co_await register_host(intents::host_state::live);
            if (!registration) {
                core::log_event("host_registration_failed", core::log_event::level::warning)
                    .field("reason", registration.error().detail);
            }
        }
        co_await core::sleep_for(std::chrono::seconds(2));
    }
}

core::task<core::result<void>> entry_node::register_host(intents::host_state state)
{
    intents::host_spec spec;
    spec.role = intents::host_role::entry;
    spec.failure_domain = context_.settings.failure_domain;
    spec.caller_address = format_address(context_.settings.caller_address);
    spec.peer_address = format_address(context_.settings.peer_address);
    spec.incarnation = context_.incarnation;
    spec.state = state;
    co_return co_await intents::register_host(store_, context_.settings.host, spec);
}

core::task<void> entry_node::remove_host()
{
    co_await intents::unregister_host(store_, context_.settings.host, context_.incarnation);
}

core::task<void> entry_node::stop_gracefully()
{
    const core::time_point stop_started_at = core::runtime_clock::now();
    peers_.announce_leaving();
    const core::result<void> registration = co_await register_host(intents::host_state::leaving);
    core::log_event("entry_leaving").field("platform_told", registration.has_value());
    // Callers may use their last address answer for this long, so new requests are still served.
    co_await core::sleep_for(context_.settings.address_lifetime);
    context_.refuses_new_work = true;
    const core::time_point deadline = stop_started_at + context_.settings.stop_timeout;
    while (context_.in_flight > 0 && core::runtime_clock::now() < deadline) {
        co_await core::sleep_for(tick_interval);
    }
    co_await remove_host();
    core::log_event("entry_stop_end")
        .field("in_flight", context_.in_flight)
        .field("took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              core::runtime_clock::now() - stop_started_at)
                              .count());
    boost::system::error_code ignored;
    caller_listener_.close(ignored);
    peer_listener_.close(ignored);
    agents_.stop();
    peers_.stop();
}

void entry_node::on_applied(const std::vector<objectstore::object>& objects)
{
    (void)objects;
    agents_.reconcile();
    configure_workspaces();
    update_capacity();
    apply_quarantines();
    const auto own = context_.catalog.hosts().find(context_.settings.host);
    const bool leave_requested = own != context_.catalog.hosts().end() &&
                                 own->second.spec.incarnation == context_.incarnation &&
                                 own->second.spec.state == intents::host_state::leaving;
    if (leave_requested) {
        begin_stop("operator");
    }
}

void entry_node::configure_workspaces()
{
    double total_share = 0;
    for (const std::pair<const core::workspace_id, intents::versioned<intents::workspace_spec>>&
             entry : context_.catalog.workspaces()) {
        total_share += static_cast<double>(entry.second.spec.share);
    }
    std::size_t entries = 0;
    for (const membership::known_entry& e : peers_.entries()) {
        entries += e.leaving ? 0 : 1;
    }
    for (const std::pair<const core::workspace_id, intents::versioned<intents::workspace_spec>>&
             entry : context_.catalog.workspaces()) {
        const intents::workspace_spec& spec = entry.second.spec;
        const double share = static_cast<double>(spec.share);
        const std::size_t count =
            membership::entry_count(static_cast<std::size_t>(spec.entries), share, total_share,
                                    std::max<std::size_t>(entries, 1));
        const std::size_t limit = static_cast<std::size_t>(spec.max_in_flight);
        const std::uint32_t limit_here =
            limit == 0 ? 0
                       : static_cast<std::uint32_t>(
                             std::max<std::size_t>(limit / std::max<std::size_t>(count, 1), 1));
        for (const core::service_id& service : spec.services) {
            context_.service(service).gate.set_workspace(entry.first, share, count, limit_here);
        }
    }
}

void entry_node::update_capacity()
{
    for (std::pair<const core::service_id, std::unique_ptr<service_state>>& entry :
         context_.services) {
        service_state& service = *entry.second;
        const double used_here = service.gate.in_use();
        const double used_by_peers = std::max(service.pool.running() - used_here, 0.0);
        service.gate.set_capacity(service.pool.usable_concurrency(), used_by_peers);
    }
}

void entry_node::apply_quarantines()
{
    const core::wall_time now = core::runtime_clock::wall_now();
    for (const std::pair<const std::string, intents::versioned<intents::quarantine_spec>>& entry :
         context_.catalog.quarantines()) {
        context_.crashes.set_quarantined(admission::fingerprint(entry.second.spec.fingerprint),
                                         now < entry.second.spec.expires_at);
    }
}

core::task<void> entry_node::publish(admission::quarantine_finding finding)
{
    core::counter_for("quarantines_found_total").add();
    core::log_event("quarantine", core::log_event::level::warning)
        .field("workspace", finding.workspace)
        .field("fingerprint", finding.request)
        .field("evidence", finding.evidence.size());
    intents::quarantine_spec spec;
    spec.workspace = finding.workspace;
    spec.fingerprint = finding.request.str();
    spec.evidence = finding.evidence;
    spec.expires_at = core::runtime_clock::wall_now() + admission::quarantine_lifetime;
    const std::string nonce = std::to_string(context_.random());
    core::result<void> written = error{};
    for (int attempt = 0; attempt < 10 && !written; ++attempt) {
        written = co_await intents::write_quarantine(store_, spec, nonce);
        if (!written) {
            co_await core::sleep_for(std::chrono::seconds(2));
        }
    }
}

core::task<void> entry_node::drop_expired_quarantines()
{
    const core::wall_time now = core::runtime_clock::wall_now();
    std::vector<std::pair<objectstore::object_key, core::revision>> expired;
    for (const std::pair<const std::string, intents::versioned<intents::quarantine_spec>>& entry :
         context_.catalog.quarantines()) {
        if (now >= entry.second.spec.expires_at) {
            expired.push_back({{"Quarantine", entry.first}, entry.second.version});
        }
    }
    for (const std::pair<objectstore::object_key, core::revision>& e : expired) {
        co_await store_.remove(e.first, e.second, make_call_context("quarantine"));
    }
}

} // namespace currantpitch::entry
