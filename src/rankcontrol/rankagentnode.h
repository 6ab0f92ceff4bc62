#pragma once

#include "gateway/metricshandler.h"
#include "gateway/siteplatform.h"
#include "objectstore/kindpoll.h"
#include "rankcontrol/candidateside.h"
#include "rankcontrol/memberregistry.h"

namespace currantpitch::rankcontrol {

/// The agent of one engine: reports the engine's state to the candidates of its group, executes the
/// leader's orders, and leads the group when no other candidate does.
template <gateway::site_platform Site, rank_port Port>
class rank_agent_node {
public:
    rank_agent_node(const core::asio::any_io_executor& executor, settings::node_settings settings,
                    std::uint64_t seed);

    core::task<core::result<void>> run();
    void begin_stop(std::string_view reason);
    /// Has no effect: an agent's settings do not change while it runs.
    void apply(const settings::node_settings&) {}

private:
    /// Receives the service's engine profile.
    struct profile_sink {
        rank_agent_node& node;
        void on_listing(const objectstore::listing& listing);
        void on_change(const objectstore::object& o);
        void on_confirmed_current(core::boot_time) {}
        void on_store_recovered() {}
    };
    /// Receives the service's endpoints.
    struct endpoint_sink {
        rank_agent_node& node;
        void on_listing(const objectstore::listing& listing);
        void on_change(const objectstore::object& o);
        void on_confirmed_current(core::boot_time) {}
        void on_store_recovered() {}
    };

    core::task<void> accept_members();
    /// Informs the members' side when the engine joins a group.
    core::task<void> follow_group();

    agent_context context_;
    typename Site::store store_;
    engine_monitor<Port> engine_;
    member_side<Port> member_;
    candidate_side<typename Site::store, Port> candidate_;
    member_registry<typename Site::store> registry_;
    profile_sink profile_sink_{*this};
    endpoint_sink endpoint_sink_{*this};
    objectstore::kind_poll<typename Site::store, profile_sink> profile_feed_;
    objectstore::kind_poll<typename Site::store, endpoint_sink> endpoint_feed_;
    gateway::metrics_handler metrics_;
    core::asio::ip::tcp::acceptor metrics_listener_;
    core::asio::ip::tcp::acceptor peer_listener_;
    core::notifier stop_;
    bool stop_begun_ = false;
};

template <gateway::site_platform Site, rank_port Port>
rank_agent_node<Site, Port>::rank_agent_node(const core::asio::any_io_executor& executor,
                                             settings::node_settings settings, std::uint64_t seed)
    : context_(executor, std::move(settings)), store_(executor, context_.settings.store_address),
      engine_(context_), member_(context_, engine_),
      candidate_(context_, store_, engine_, member_, seed),
      registry_(context_, store_, seed + 3,
                [this](std::map<boost::asio::ip::address, core::group_id> groups) {
                    member_.members().set_registered_groups(std::move(groups));
                    member_.dial_candidates();
                }),
      profile_feed_(store_, Site::configuration_key().kind, profile_sink_, agent_poll_timing,
                    seed + 1),
      endpoint_feed_(store_, Site::endpoint_kind(), endpoint_sink_, agent_poll_timing, seed + 2),
      metrics_listener_(executor), peer_listener_(executor), stop_(executor)
{
}

template <gateway::site_platform Site, rank_port Port>
core::task<core::result<void>> rank_agent_node<Site, Port>::run()
{
    const settings::node_settings& settings = context_.settings;
    const core::result<void> peers = wire::open_listener(peer_listener_, settings.peer_address);
    const core::result<void> metrics =
        wire::open_listener(metrics_listener_, settings.metrics_address);
    if (!peers || !metrics) {
        co_return peers ? metrics.error() : peers.error();
    }
    core::log_event("rank_agent_start")
        .field("host", settings.host)
        .field("service", settings.service);
    core::spawn(context_.executor, profile_feed_.run());
    core::spawn(context_.executor, endpoint_feed_.run());
    core::spawn(context_.executor, http::serve(metrics_listener_, metrics_));
    core::spawn(context_.executor, accept_members());
    core::spawn(context_.executor, follow_group());
    core::spawn(context_.executor, context_.standstill.run());
    core::spawn(context_.executor, engine_.run());
    core::spawn(context_.executor, candidate_.run());
    while (!stop_begun_) {
        co_await stop_.wait();
    }
    co_await candidate_.hand_over();
    context_.stopping = true;
    core::log_event("rank_agent_stop_end").field("leads", candidate_.is_leading());
    co_return core::ok();
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::begin_stop(std::string_view reason)
{
    core::log_event("rank_agent_stop_begin").field("reason", reason);
    stop_begun_ = true;
    stop_.notify();
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::profile_sink::on_listing(const objectstore::listing& listing)
{
    for (const objectstore::object& o : listing.objects) {
        on_change(o);
    }
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::profile_sink::on_change(const objectstore::object& o)
{
    if (o.deleted || o.key != Site::configuration_key()) {
        return;
    }
    const core::result<routes::configuration> c = Site::decode_configuration(o.body);
    if (!c) {
        core::log_event("configuration_unreadable", core::log_event::level::error)
            .field("revision", o.version)
            .field("reason", c.error().detail);
        return;
    }
    for (const routes::service_profile& s : c.value().services) {
        if (s.service == node.context_.settings.service) {
            node.context_.profile = s.engine;
        }
    }
    node.context_.target_gap =
        c.value().target_gap_of(node.context_.settings.service).value_or(node.context_.target_gap);
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::endpoint_sink::on_listing(const objectstore::listing& listing)
{
    std::vector<directory::endpoint_record> records;
    for (const objectstore::object& o : listing.objects) {
        const core::result<directory::endpoint_record> r = Site::decode_endpoint(o);
        if (r) {
            records.push_back(r.value());
        }
    }
    node.member_.members().on_listing(records);
    node.registry_.on_host_count(node.member_.members().host_count(),
                                 node.engine_.state() ? node.engine_.state()->group_size : 0);
    node.member_.dial_candidates();
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::endpoint_sink::on_change(const objectstore::object& o)
{
    const core::result<directory::endpoint_record> r =
        o.deleted ? core::result<directory::endpoint_record>(
                        core::error{core::errc::not_found, "removed"})
                  : Site::decode_endpoint(o);
    if (r) {
        node.member_.members().apply(r.value());
    }
    else {
        node.member_.members().on_removal(core::endpoint_id(o.key.name));
    }
    node.member_.dial_candidates();
}

template <gateway::site_platform Site, rank_port Port>
core::task<void> rank_agent_node<Site, Port>::follow_group()
{
    while (!context_.stopping) {
        co_await context_.group_changed.wait();
        member_.on_group_changed();
    }
}

template <gateway::site_platform Site, rank_port Port>
core::task<void> rank_agent_node<Site, Port>::accept_members()
{
    while (peer_listener_.is_open()) {
        boost::system::error_code failure;
        core::asio::ip::tcp::socket socket = co_await peer_listener_.async_accept(
            core::asio::redirect_error(core::asio::use_awaitable, failure));
        if (failure) {
            co_await core::sleep_for(connect_retry_delay);
            continue;
        }
        core::spawn_contained(
            context_.executor, "member_connection",
            candidate_.serve_member(std::make_shared<wire::framed_connection>(std::move(socket))));
    }
}

} // namespace currantpitch::rankcontrol
