#pragma once

#include "gateway/capacityexchange.h"
#include "gateway/configurationexchange.h"
#include "gateway/evacuationfollower.h"
#include "gateway/evidenceexchange.h"
#include "gateway/feedsinks.h"
#include "gateway/gatewayconstants.h"
#include "gateway/metricshandler.h"
#include "gateway/quarantinekeeper.h"
#include "gateway/signalexchange.h"
#include "intents/hostregistration.h"
#include "membership/peerhub.h"
#include "objectstore/kindpoll.h"
#include "proxy/requesthandler.h"
#include "settings/nodesettings.h"
#include "wire/packer.h"
#include "wire/unpacker.h"
#include "wire/wireconstants.h"

#include "dispatch/dispatchmessages.h"

namespace currantpitch::gateway {

/// One entry process that serves declared routes. Listens for callers and peers and serves their
/// requests. A planned stop waits for running requests up to the stop timeout.
template <site_platform Site>
class gateway_node {
public:
    gateway_node(const core::asio::any_io_executor& executor, settings::node_settings settings,
                 std::uint64_t seed);

    /// Listens and serves until a planned stop has completed.
    core::task<core::result<void>> run();
    /// Begins a planned stop.
    void begin_stop(std::string_view reason);
    /// Applies the time limits of changed settings. Changed addresses take effect at the next
    /// start.
    void apply(const settings::node_settings& changed);

private:
    /// Answers queries for the addresses that callers may use.
    struct address_handler {
        gateway_node& node;
        core::task<void> operator()(http::server_connection& c, const http::request& r);
    };
    /// Reports to the platform whether the process is ready.
    struct readiness_handler {
        gateway_node& node;
        core::task<void> operator()(http::server_connection& c, const http::request& r);
    };

    static proxy::proxy_bounds bounds_of(const settings::node_settings& s);
    core::result<void> listen();
    void start_feeds();
    bool ready() const;
    void on_hosts();
    void on_peer_message(const core::host_id& peer, std::uint8_t type, const std::string& payload);
    dispatch::load_report own_report() const;
    core::task<void> accept_peers();
    core::task<void> serve_peer(std::shared_ptr<wire::framed_connection> connection);
    core::task<void> report_loop();
    core::task<void> maintenance_loop();
    core::task<void> registration_loop();
    core::task<core::result<void>> register_self(intents::host_state state);
    core::task<void> stop_gracefully();

    core::asio::any_io_executor executor_;
    settings::node_settings settings_;
    core::incarnation incarnation_;
    proxy::proxy_context context_;
    entry_roster roster_;
    std::shared_ptr<membership::peer_hub> hub_;
    evidence_exchange evidence_;
    signal_exchange endpoint_signals_;
    typename Site::store store_;
    configuration_sink<Site> configuration_sink_;
    configuration_exchange<configuration_sink<Site>> configurations_;
    endpoint_sink<Site> endpoint_sink_;
    host_sink host_sink_;
    quarantine_keeper<typename Site::store> quarantines_;
    evacuation_follower<Site> evacuations_;
    objectstore::kind_feed<typename Site::store, configuration_sink<Site>> configuration_feed_;
    objectstore::kind_feed<typename Site::store, endpoint_sink<Site>> endpoint_feed_;
    objectstore::kind_poll<typename Site::store, host_sink> host_feed_;
    objectstore::kind_poll<typename Site::store, quarantine_keeper<typename Site::store>>
        quarantine_feed_;
    proxy::request_handler<typename Site::dialect> request_handler_;
    address_handler address_handler_{*this};
    readiness_handler readiness_handler_{*this};
    metrics_handler metrics_handler_;
    capacity_gauges capacity_gauges_;
    core::asio::ip::tcp::acceptor caller_listener_;
    core::asio::ip::tcp::acceptor directory_listener_;
    core::asio::ip::tcp::acceptor readiness_listener_;
    core::asio::ip::tcp::acceptor metrics_listener_;
    core::asio::ip::tcp::acceptor peer_listener_;
    core::notifier stop_;
    bool was_ready_ = false;
};

template <site_platform Site>
proxy::proxy_bounds gateway_node<Site>::bounds_of(const settings::node_settings& s)
{
    proxy::proxy_bounds b;
    b.max_configuration_age = s.revocation_time - configuration_age_margin;
    b.retries = {s.retry_ratio, s.retry_slack, s.retry_window};
    if (s.cold_start) {
        b.cold_start = {s.cold_start->overshoot, s.cold_start->tolerance};
    }
    b.learn_capacity = s.learn_capacity;
    return b;
}

template <site_platform Site>
gateway_node<Site>::gateway_node(const core::asio::any_io_executor& executor,
                                 settings::node_settings settings, std::uint64_t seed)
    : executor_(executor), settings_(std::move(settings)), incarnation_{seed},
      context_(executor, settings_.failure_domain, bounds_of(settings_), seed),
      roster_(settings_.host),
      hub_(std::make_shared<membership::peer_hub>(
          executor,
          membership::peer_hello{settings_.host, settings_.failure_domain, incarnation_})),
      evidence_(context_, *hub_), endpoint_signals_(settings_.host, context_, *hub_),
      store_(executor, settings_.store_address),
      configuration_sink_(context_, [this] { context_.apply_endpoints(); }),
      configurations_(configuration_sink_, *hub_), endpoint_sink_(context_),
      host_sink_(roster_, [this] { on_hosts(); }),
      quarantines_(executor, store_, context_.requests),
      evacuations_(executor, store_, context_, *hub_, settings_.evacuation_time, seed + 5),
      configuration_feed_(executor, store_, Site::configuration_key().kind, configuration_sink_,
                          configuration_timing_for(settings_.revocation_time), seed + 1),
      endpoint_feed_(executor, store_, Site::endpoint_kind(), endpoint_sink_, endpoint_feed_timing,
                     seed + 2),
      host_feed_(store_, std::string(intents::to_string(intents::resource_kind::host)), host_sink_,
                 host_poll_timing, seed + 3),
      quarantine_feed_(store_, std::string(intents::to_string(intents::resource_kind::quarantine)),
                       quarantines_, quarantine_poll_timing, seed + 4),
      request_handler_(context_), caller_listener_(executor), directory_listener_(executor),
      readiness_listener_(executor), metrics_listener_(executor), peer_listener_(executor),
      stop_(executor)
{
    context_.set_memory(settings_.memory_mib);
    hub_->on_message = [this](const core::host_id& peer, std::uint8_t type,
                              const std::string& payload) {
        on_peer_message(peer, type, payload);
    };
    hub_->on_peer_up = [this](const membership::peer_hello& h) {
        core::log_event("peer_up").field("peer", h.host).field("incarnation", h.incarnation);
        evidence_.on_peer_up(h.host);
        endpoint_signals_.on_peer_up(h.host);
        configurations_.on_peer_up(h.host);
        evacuations_.on_peer_up(h.host);
    };
    hub_->on_peer_down = [this](const membership::peer_hello& h) {
        core::log_event("peer_down").field("peer", h.host).field("incarnation", h.incarnation);
        roster_.on_peer_down(h.host);
        endpoint_signals_.on_peer_down(h.host);
    };
    configuration_sink_.on_listed = [this] {
        configurations_.on_listing();
    };
    hub_->on_heartbeat = [](const membership::peer_hello&, const membership::peer_heartbeat&) {
    };
}

template <site_platform Site>
core::result<void> gateway_node<Site>::listen()
{
    const std::array<std::pair<core::asio::ip::tcp::acceptor*, settings::address>, 5> listeners{
        {{&caller_listener_, settings_.caller_address},
         {&directory_listener_, settings_.directory_address},
         {&readiness_listener_, settings_.readiness_address},
         {&metrics_listener_, settings_.metrics_address},
         {&peer_listener_, settings_.peer_address}}};
    for (const std::pair<core::asio::ip::tcp::acceptor*, settings::address>& listener : listeners) {
        const core::result<void> listening = wire::open_listener(*listener.first, listener.second);
        if (!listening) {
            return listening;
        }
    }
    return core::ok();
}

template <site_platform Site>
core::task<core::result<void>> gateway_node<Site>::run()
{
    const core::result<void> listening = listen();
    if (!listening) {
        co_return listening.error();
    }
    core::log_event("gateway_start")
        .field("host", settings_.host)
        .field("failure_domain", settings_.failure_domain)
        .field("incarnation", incarnation_);
    start_feeds();
    core::spawn(executor_, accept_peers());
    core::spawn(executor_, http::serve(caller_listener_, request_handler_));
    core::spawn(executor_, http::serve(directory_listener_, address_handler_));
    core::spawn(executor_, http::serve(readiness_listener_, readiness_handler_));
    core::spawn(executor_, http::serve(metrics_listener_, metrics_handler_));
    core::spawn(executor_, report_loop());
    core::spawn(executor_, maintenance_loop());
    core::spawn(executor_, registration_loop());
    while (!context_.stopping) {
        co_await stop_.wait();
    }
    co_await stop_gracefully();
    co_return core::ok();
}

template <site_platform Site>
void gateway_node<Site>::start_feeds()
{
    // The calls for the configuration are short, so they show soon that the store has changed or
    // has lost answers.
    configuration_feed_.on_answer = [this](core::revision at) {
        endpoint_feed_.on_store_progress(at);
        evacuations_.on_store_progress(at);
    };
    configuration_feed_.on_failure = [this] {
        endpoint_feed_.on_store_doubtful();
        evacuations_.on_store_doubtful();
    };
    core::spawn(executor_, configuration_feed_.run());
    core::spawn(executor_, endpoint_feed_.run());
    core::spawn(executor_, evacuations_.run());
    core::spawn(executor_, host_feed_.run());
    core::spawn(executor_, quarantine_feed_.run());
    core::spawn(executor_, quarantines_.run());
}

template <site_platform Site>
void gateway_node<Site>::begin_stop(std::string_view reason)
{
    if (context_.stopping) {
        return;
    }
    core::log_event("gateway_stop_begin")
        .field("reason", reason)
        .field("in_flight", context_.in_flight);
    context_.stopping = true;
    stop_.notify();
}

template <site_platform Site>
void gateway_node<Site>::apply(const settings::node_settings& changed)
{
    settings_.revocation_time = changed.revocation_time;
    settings_.stop_timeout = changed.stop_timeout;
    context_.bounds.max_configuration_age = bounds_of(changed).max_configuration_age;
    context_.bounds.cold_start = bounds_of(changed).cold_start;
    endpoint_signals_.apply_bounds();
    context_.set_memory(changed.memory_mib);
}

template <site_platform Site>
bool gateway_node<Site>::ready() const
{
    const core::duration max_age =
        std::chrono::duration_cast<core::duration>(settings_.revocation_time * max_ready_age_ratio);
    return !context_.stopping && context_.configuration.known() && endpoint_sink_.listed() &&
           evacuations_.ready() && context_.configuration.age() <= max_age;
}

template <site_platform Site>
void gateway_node<Site>::on_hosts()
{
    hub_->set_targets(roster_.dial_targets());
    context_.set_process_count(std::max<std::size_t>(roster_.registered_count(), 1));
    endpoint_signals_.set_registered(roster_.registered());
}

template <site_platform Site>
void gateway_node<Site>::on_peer_message(const core::host_id& peer, std::uint8_t type,
                                         const std::string& payload)
{
    if (evidence_.on_message(peer, type, payload) ||
        endpoint_signals_.on_message(peer, type, payload) ||
        configurations_.on_message(peer, type, payload) ||
        evacuations_.on_message(peer, type, payload)) {
        return;
    }
    if (type != dispatch::load_report_type) {
        core::counter_for("peer_messages_unknown_total").add();
        return;
    }
    const core::result<dispatch::load_report> report = wire::decode<dispatch::load_report>(payload);
    if (!report) {
        core::counter_for("peer_messages_malformed_total").add();
        return;
    }
    const core::time_point now = core::runtime_clock::now();
    roster_.on_report(peer, report.value().ready, now);
    std::map<core::endpoint_id, unsigned> loads;
    for (const dispatch::endpoint_load& l : report.value().loads) {
        loads[l.endpoint] = l.running;
    }
    std::map<core::service_id, overload::load_by_priority> priorities =
        dispatch::loads_by_service(report.value());
    for (const std::pair<const core::service_id, std::unique_ptr<proxy::service_state>>& entry :
         context_.services) {
        entry.second->queue.slot_scheduler().on_peer_load(peer, loads, now,
                                                          priorities[entry.first]);
        entry.second->queue.slot_scheduler().on_peer_samples(peer, report.value().samples, now);
        entry.second->queue.process_waiting();
    }
}

template <site_platform Site>
dispatch::load_report gateway_node<Site>::own_report() const
{
    dispatch::load_report report;
    report.ready = ready();
    for (const std::pair<const core::service_id, std::unique_ptr<proxy::service_state>>& entry :
         context_.services) {
        for (const std::pair<const core::endpoint_id, unsigned>& load :
             entry.second->queue.slot_scheduler().own_load()) {
            report.loads.push_back({load.first, load.second});
        }
        dispatch::append_priorities(entry.first, entry.second->queue.slot_scheduler(), report,
                                    core::runtime_clock::now());
    }
    return report;
}

template <site_platform Site>
core::task<void> gateway_node<Site>::report_loop()
{
    std::string last_payload;
    core::time_point sent_at{};
    while (true) {
        const dispatch::load_report_timing timing =
            dispatch::timing_for(roster_.registered_count());
        const core::time_point now = core::runtime_clock::now();
        dispatch::load_report report = own_report();
        std::string payload = wire::encode(report);
        report.samples = take_capacity_samples(context_, now);
        const bool changed = payload != last_payload || !report.samples.empty();
        if (changed || now - sent_at >= timing.refresh_interval) {
            sent_at = now;
            hub_->send_to_all(report.samples.empty() ? payload : wire::encode(report));
            last_payload = std::move(payload);
        }
        co_await core::sleep_for(timing.interval);
    }
}

template <site_platform Site>
core::task<void> gateway_node<Site>::maintenance_loop()
{
    while (true) {
        co_await core::sleep_for(maintenance_interval);
        const core::time_point now = core::runtime_clock::now();
        endpoint_signals_.on_running();
        const std::vector<core::endpoint_id> expired = context_.endpoints.expire(now);
        for (const core::endpoint_id& endpoint : expired) {
            core::log_event("endpoint_not_back").field("endpoint", endpoint);
        }
        if (context_.endpoints.readmit(now) || !expired.empty()) {
            context_.apply_endpoints();
        }
        evacuations_.update();
        context_.connections.expire(now);
        for (const std::pair<const core::service_id, std::unique_ptr<proxy::service_state>>& entry :
             context_.services) {
            proxy::service_state& s = *entry.second;
            s.queue.slot_scheduler().set_limit(s.concurrency_controller.limit());
            s.queue.process_waiting();
            s.guard.expire(now);
            proxy::update_priority_gauges(entry.first, s, now);
        }
        capacity_gauges_.update(context_, now);
        context_.requests.update(now);
        core::gauge_for("requests_in_flight").set(static_cast<double>(context_.in_flight));
        core::gauge_for("endpoints_cold")
            .set(static_cast<double>(context_.signals.cold_count(now)));
        core::gauge_for("request_body_bytes")
            .set(static_cast<double>(context_.request_bodies.used()));
        core::gauge_for("idle_connections").set(static_cast<double>(context_.connections.size()));
        core::gauge_for("configuration_age_ms")
            .set(static_cast<double>(core::to_milliseconds(context_.configuration.age())));
        if (ready() != was_ready_) {
            was_ready_ = !was_ready_;
            core::log_event(was_ready_ ? "gateway_ready" : "gateway_not_ready")
                .field("stopping", context_.stopping)
                .field("configuration_age_ms", core::to_milliseconds(context_.configuration.age()))
                .field("endpoints", context_.endpoints.all().size());
        }
    }
}

template <site_platform Site>
core::task<void> gateway_node<Site>::accept_peers()
{
    while (peer_listener_.is_open()) {
        boost::system::error_code failure;
        core::asio::ip::tcp::socket socket = co_await peer_listener_.async_accept(
            core::asio::redirect_error(core::asio::use_awaitable, failure));
        if (failure) {
            co_await core::sleep_for(maintenance_interval);
            continue;
        }
        core::spawn_contained(
            executor_, "peer_connection",
            serve_peer(std::make_shared<wire::framed_connection>(std::move(socket))));
    }
}

template <site_platform Site>
core::task<void> gateway_node<Site>::serve_peer(std::shared_ptr<wire::framed_connection> connection)
{
    const core::result<std::string> first_frame = co_await core::with_deadline(
        connection->receive(), core::runtime_clock::now() + wire::heartbeat_timeout);
    const core::result<membership::peer_hello> hello =
        first_frame ? wire::decode<membership::peer_hello>(first_frame.value())
                    : core::result<membership::peer_hello>(first_frame.error());
    if (!hello) {
        core::counter_for("peer_hellos_refused_total").add();
        core::log_event("peer_hello_refused", core::log_event::level::warning)
            .field("reason", hello.error().detail);
        co_return;
    }
    co_await hub_->serve(std::move(connection), hello.value());
}

template <site_platform Site>
core::task<void> gateway_node<Site>::registration_loop()
{
    // Listings of the same era can be older than the registration.
    core::time_point next_registration_at{};
    core::store_era registered_era{};
    while (!context_.stopping) {
        const intents::host_spec* const own = roster_.own_spec();
        const core::time_point now = core::runtime_clock::now();
        const bool registered = own != nullptr && own->incarnation == incarnation_;
        if (!registered && (now >= next_registration_at || roster_.era() > registered_era)) {
            registered_era = roster_.era();
            const core::result<void> registration =
                co_await register_self(intents::host_state::live);
            if (registration) {
                next_registration_at = now + registration_listing_delay;
            }
            else {
                core::log_event("host_registration_failed", core::log_event::level::warning)
                    .field("error", core::to_string(registration.error().code))
                    .field("reason", registration.error().detail);
            }
        }
        co_await core::sleep_for(registration_check_interval);
    }
}

template <site_platform Site>
core::task<core::result<void>> gateway_node<Site>::register_self(intents::host_state state)
{
    const auto format_address = [](const settings::address& a) {
        return a.address().to_string() + ":" + std::to_string(a.port());
    };
    intents::host_spec spec;
    spec.role = intents::host_role::entry;
    spec.failure_domain = settings_.failure_domain;
    spec.caller_address = format_address(settings_.caller_address);
    spec.peer_address = format_address(settings_.peer_address);
    spec.incarnation = incarnation_;
    spec.state = state;
    co_return co_await intents::register_host(store_, settings_.host, spec);
}

template <site_platform Site>
core::task<void> gateway_node<Site>::stop_gracefully()
{
    const core::time_point stop_started_at = core::runtime_clock::now();
    hub_->set_leaving();
    hub_->send_to_all(wire::encode(own_report()));
    const core::time_point deadline =
        stop_started_at + settings_.stop_timeout - stop_timeout_margin;
    context_.stop_deadline = deadline - stop_answer_time;
    context_.stop_refuses_from = stop_started_at + stop_acceptance_period;
    // Callers may use earlier address answers for this long, so new requests are still served.
    co_await core::sleep_for(
        std::min<core::duration>(shutdown_grace_period, deadline - stop_started_at));
    while (context_.in_flight > 0 && core::runtime_clock::now() < deadline) {
        co_await core::sleep_for(maintenance_interval);
    }
    core::log_event("gateway_stop_end")
        .field("in_flight", context_.in_flight)
        .field("took_ms", core::to_milliseconds(core::runtime_clock::now() - stop_started_at));
}

} // namespace currantpitch::gateway

#include "gateway/gatewayhandlers.h"
