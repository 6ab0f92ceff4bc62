#pragma once

#include "agent/agentconfiguration.h"
#include "agent/agentconstants.h"
#include "agent/grouprole.h"
#include "core/counters.h"
#include "core/eventlog.h"
#include "endpoints/guardedendpoint.h"
#include "intents/hostregistration.h"
#include "objectstore/httpstore.h"
#include "sessions/entrysession.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace currantpitch::agent {

/// One agent process, running beside an endpoint. Serves sessions of the entries. A planned stop
/// waits for running work up to the stop timeout.
template <endpoints::endpoint_backend Backend>
class agent_node {
public:
    agent_node(const core::asio::any_io_executor& executor, settings::daemon_settings settings,
               std::uint64_t seed)
        : executor_(executor), settings_(std::move(settings)), incarnation_{seed},
          store_(executor, settings_.platform_address),
          backend_(executor, settings_.endpoint_address), endpoint_(backend_, gate_),
          session_server_(executor, settings_.host, incarnation_, endpoint_),
          group_(executor, store_, backend_, settings_.host, incarnation_), listener_(executor),
          stop_(executor)
    {
        endpoint_.on_status = [this](const endpoints::endpoint_status& status) {
            group_.on_status(status);
        };
        session_server_.on_unhandled_message = [this](std::uint8_t type,
                                                      const std::string& payload) {
            on_message(type, payload);
        };
    }

    /// Listens and serves until a planned stop has completed.
    core::task<core::result<void>> run();
    /// Begins a planned stop. No new work is accepted from then on.
    void begin_stop(std::string_view reason);

private:
    core::task<void> accept();
    core::task<void> serve(std::shared_ptr<wire::framed_connection> connection);
    core::task<void> registration_loop();
    intents::host_spec own_spec(intents::host_state state) const;
    core::task<void> stop_gracefully();
    void on_message(std::uint8_t type, const std::string& payload);
    void apply_configuration();

    core::asio::any_io_executor executor_;
    settings::daemon_settings settings_;
    core::incarnation incarnation_;
    objectstore::http_store store_;
    endpoints::endpoint_gate gate_;
    Backend backend_;
    endpoints::guarded_endpoint<Backend> endpoint_;
    sessions::session_server<endpoints::guarded_endpoint<Backend>> session_server_;
    group_role<Backend> group_;
    agent_configuration_store configuration_;
    core::asio::ip::tcp::acceptor listener_;
    core::notifier stop_;
    bool stopping_ = false;
    bool desired_leaving_ = false;
};

template <endpoints::endpoint_backend Backend>
core::task<core::result<void>> agent_node<Backend>::run()
{
    const core::result<void> listening = wire::open_listener(listener_, settings_.peer_address);
    if (!listening) {
        co_return listening.error();
    }
    core::log_event("agent_start")
        .field("host", settings_.host)
        .field("endpoint", settings_.endpoint_name)
        .field("incarnation", incarnation_);
    core::spawn(executor_, endpoint_.poll());
    core::spawn(executor_, accept());
    core::spawn(executor_, registration_loop());
    core::spawn(executor_, group_.run());
    while (!stopping_) {
        co_await stop_.wait();
    }
    co_await stop_gracefully();
    co_return core::ok();
}

template <endpoints::endpoint_backend Backend>
void agent_node<Backend>::begin_stop(std::string_view reason)
{
    if (stopping_) {
        return;
    }
    core::log_event("agent_stop_begin").field("reason", reason).field("running", gate_.running());
    gate_.start_leaving();
    stopping_ = true;
    stop_.notify();
}

template <endpoints::endpoint_backend Backend>
core::task<void> agent_node<Backend>::accept()
{
    while (listener_.is_open()) {
        boost::system::error_code failure;
        core::asio::ip::tcp::socket socket = co_await listener_.async_accept(
            core::asio::redirect_error(core::asio::use_awaitable, failure));
        if (failure) {
            co_await core::sleep_for(std::chrono::milliseconds(100));
            continue;
        }
        core::spawn(executor_, serve(std::make_shared<wire::framed_connection>(std::move(socket))));
    }
}

template <endpoints::endpoint_backend Backend>
core::task<void> agent_node<Backend>::serve(std::shared_ptr<wire::framed_connection> connection)
{
    core::task<core::result<std::string>> reading = connection->receive();
    const core::result<std::string> first_frame = co_await core::with_deadline(
        std::move(reading), core::runtime_clock::now() + first_frame_timeout);
    if (!first_frame) {
        co_return;
    }
    const core::result<expertmaps::group_hello> group_hello =
        wire::decode<expertmaps::group_hello>(first_frame.value());
    if (group_hello) {
        co_await group_.serve(std::move(connection), group_hello.value());
        co_return;
    }
    const core::result<sessions::hello> hello = wire::decode<sessions::hello>(first_frame.value());
    if (!hello) {
        core::counter_for("hellos_refused_total").add();
        core::log_event("hello_refused", core::log_event::level::warning)
            .field("reason", hello.error().detail);
        co_return;
    }
    co_await session_server_.serve(std::move(connection), hello.value());
}

template <endpoints::endpoint_backend Backend>
void agent_node<Backend>::on_message(std::uint8_t type, const std::string& payload)
{
    if (type != intents::agent_configuration_type) {
        core::counter_for("agent_messages_unknown_total").add();
        return;
    }
    const core::result<intents::agent_configuration> message =
        wire::decode<intents::agent_configuration>(payload);
    if (message && configuration_.apply(message.value())) {
        apply_configuration();
    }
}

template <endpoints::endpoint_backend Backend>
void agent_node<Backend>::apply_configuration()
{
    endpoint_.configuration = configuration_.revision();
    group_.configure(configuration_.catalog(), settings_.endpoint_name);
    const auto own = configuration_.catalog().endpoints().find(settings_.endpoint_name);
    const bool known = own != configuration_.catalog().endpoints().end() &&
                       own->second.spec.host == settings_.host;
    if (!known) {
        gate_.set_concurrency(0);
        return;
    }
    const intents::endpoint_spec& spec = own->second.spec;
    const bool leaving = spec.desired == intents::desired_state::leaving;
    if (leaving != desired_leaving_) {
        core::log_event("endpoint_desired").field("leaving", leaving);
    }
    desired_leaving_ = leaving;
    gate_.set_concurrency(static_cast<std::uint32_t>(spec.concurrency));
    gate_.set_desired_leaving(leaving);
}

template <endpoints::endpoint_backend Backend>
intents::host_spec agent_node<Backend>::own_spec(intents::host_state state) const
{
    intents::host_spec spec;
    spec.role = intents::host_role::agent;
    spec.failure_domain = settings_.failure_domain;
    spec.peer_address = settings_.peer_address.address().to_string() + ":" +
                        std::to_string(settings_.peer_address.port());
    spec.incarnation = incarnation_;
    spec.state = state;
    return spec;
}

template <endpoints::endpoint_backend Backend>
core::task<void> agent_node<Backend>::registration_loop()
{
    bool registered = false;
    while (!stopping_ && !registered) {
        const intents::host_spec spec = own_spec(intents::host_state::live);
        const core::result<void> registration =
            co_await intents::register_host(store_, settings_.host, spec);
        registered = registration.has_value();
        if (!registered) {
            core::log_event("host_registration_failed", core::log_event::level::warning)
                .field("reason", registration.error().detail);
            co_await core::sleep_for(registration_retry_delay);
        }
    }
}

template <endpoints::endpoint_backend Backend>
core::task<void> agent_node<Backend>::stop_gracefully()
{
    const core::time_point deadline = core::runtime_clock::now() + settings_.stop_timeout;
    const intents::host_spec spec = own_spec(intents::host_state::leaving);
    const core::result<void> registration =
        co_await intents::register_host(store_, settings_.host, spec);
    core::log_event("agent_leaving").field("platform_told", registration.has_value());
    while (session_server_.running() > 0 && core::runtime_clock::now() < deadline) {
        co_await core::sleep_for(stop_poll_interval);
    }
    // Gives the sessions time to send the last answers from their queues.
    co_await core::sleep_for(final_flush_time);
    co_await intents::unregister_host(store_, settings_.host, incarnation_);
    core::log_event("agent_stop_end").field("running", session_server_.running());
    boost::system::error_code ignored;
    listener_.close(ignored);
}

} // namespace currantpitch::agent
