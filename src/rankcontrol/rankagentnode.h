#pragma once

#include "core/counters.h"
#include "core/eventlog.h"
#include "expertmaps/fenceclaim.h"
#include "gateway/metricsfront.h"
#include "gateway/siteplatform.h"
#include "objectstore/kindfeed.h"
#include "rankcontrol/groupleader.h"
#include "rankcontrol/groupmembers.h"
#include "rankcontrol/rankexecutor.h"
#include "settings/nodesettings.h"
#include "wire/framedconnection.h"
#include "wire/packer.h"
#include "wire/unpacker.h"
#include "wire/wireconstants.h"

#include <memory>
#include <set>

namespace currantpitch::rankcontrol {

/// The agent beside one engine: reports the engine's state to the candidates of its group, carries
/// out the leader's orders, and leads the group when it is the first candidate that lives.
template <gateway::site_platform Site, rank_port Port>
class rank_agent_node {
public:
    rank_agent_node(const core::asio::any_io_executor& executor, settings::node_settings settings,
                    std::uint64_t seed);

    core::task<core::result<void>> run();
    void begin_stop(std::string_view reason);
    /// Nothing of an agent's settings changes while it runs.
    void apply(const settings::node_settings&) {}

private:
    /// Takes the service's engine profile in.
    struct profile_sink {
        rank_agent_node& node;
        void take_listing(const objectstore::listing& whole);
        void take_change(const objectstore::object& o);
        void take_proof(core::boot_time) {}
        void take_store_back() {}
    };
    /// Takes the service's endpoints in.
    struct member_sink {
        rank_agent_node& node;
        void take_listing(const objectstore::listing& whole);
        void take_change(const objectstore::object& o);
        void take_proof(core::boot_time) {}
        void take_store_back() {}
    };
    struct member_session {
        std::shared_ptr<wire::framed_connection> connection;
        std::optional<std::uint32_t> rank;
    };

    core::task<void> accept_members();
    core::task<void> serve_member(std::shared_ptr<wire::framed_connection> connection);
    core::task<void> read_member(std::shared_ptr<member_session> session);
    core::task<void> claim_loop(wire::framed_connection& connection);
    void dial_candidates();
    core::task<void> follow_candidate(settings::address candidate);
    core::task<void> read_candidate(wire::framed_connection& connection,
                                    settings::address candidate);
    core::task<void> report_to(wire::framed_connection& connection, settings::address candidate);
    core::task<void> watch_engine();
    core::task<void> learn_fence();
    core::task<void> lead_loop();
    core::task<void> claim();
    void tick_leader();
    void send(std::vector<addressed_order> orders);
    core::task<void> carry_out_locally(addressed_order order);
    std::chrono::milliseconds counts_interval() const;
    rank_status status_for_leader(bool with_held);
    rank_status own_status() const;
    bool is_candidate(const settings::address& a) const;
    bool lower_candidate_lives() const;
    std::optional<layout_shape> shape() const;
    void promise(term t, std::string_view to);

    core::asio::any_io_executor executor_;
    settings::node_settings settings_;
    std::uint64_t nonce_;
    typename Site::store store_;
    Port port_;
    rank_executor<Port> engine_;
    group_members members_;
    profile_sink profile_sink_{*this};
    member_sink member_sink_{*this};
    objectstore::kind_feed<typename Site::store, profile_sink> profile_feed_;
    objectstore::kind_feed<typename Site::store, member_sink> member_feed_;
    gateway::metrics_front metrics_;
    core::asio::ip::tcp::acceptor metrics_listener_;
    core::asio::ip::tcp::acceptor peer_listener_;
    core::notifier stop_;
    core::notifier fresh_state_;
    bool stopping_ = false;

    std::optional<routes::engine_profile> profile_;
    std::optional<rank_state> state_;
    std::vector<std::vector<expert>> held_;
    core::map_version held_version_;
    group_epoch held_epoch_;
    /// Counts of the last look, and what came since the last status to the leader.
    expert_counts last_counts_;
    core::incarnation counted_life_;
    expert_counts chosen_;
    core::time_point chosen_told_;
    core::time_point loading_until_;

    bool fence_known_ = false;
    term promised_;
    /// The candidate whose term is promised.
    std::optional<settings::address> leader_address_;
    std::map<settings::address, core::time_point> candidate_heard_;
    std::set<settings::address> dialled_;
    std::vector<std::shared_ptr<member_session>> sessions_;
    std::unique_ptr<group_leader> leader_;
    core::time_point started_;
    std::uint64_t last_order_ = 0;
};

template <gateway::site_platform Site, rank_port Port>
rank_agent_node<Site, Port>::rank_agent_node(const core::asio::any_io_executor& executor,
                                             settings::node_settings settings, std::uint64_t seed)
    : executor_(executor), settings_(std::move(settings)), nonce_(seed),
      store_(executor, settings_.store_address), port_(executor, settings_.engine_address),
      engine_(executor, port_), members_(settings_.service, settings_.peer_address.port()),
      profile_feed_(store_, Site::configuration_key().kind, profile_sink_, agent_pace, seed + 1),
      member_feed_(store_, Site::endpoint_kind(), member_sink_, agent_pace, seed + 2),
      metrics_listener_(executor), peer_listener_(executor), stop_(executor),
      fresh_state_(executor), started_(core::runtime_clock::now())
{
}

template <gateway::site_platform Site, rank_port Port>
core::task<core::result<void>> rank_agent_node<Site, Port>::run()
{
    const core::result<void> peers = wire::open_listener(peer_listener_, settings_.peer_address);
    const core::result<void> metrics =
        wire::open_listener(metrics_listener_, settings_.metrics_address);
    if (!peers || !metrics) {
        co_return peers ? metrics.error() : peers.error();
    }
    core::log_event("rank_agent_start")
        .field("host", settings_.host)
        .field("service", settings_.service);
    core::spawn(executor_, profile_feed_.run());
    core::spawn(executor_, member_feed_.run());
    core::spawn(executor_, http::serve(metrics_listener_, metrics_));
    core::spawn(executor_, accept_members());
    core::spawn(executor_, watch_engine());
    core::spawn(executor_, learn_fence());
    core::spawn(executor_, lead_loop());
    while (!stopping_) {
        co_await stop_.wait();
    }
    core::log_event("rank_agent_stop_end").field("leads", leader_ != nullptr);
    co_return core::ok();
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::begin_stop(std::string_view reason)
{
    core::log_event("rank_agent_stop_begin").field("reason", reason);
    stopping_ = true;
    stop_.notify();
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::profile_sink::take_listing(const objectstore::listing& whole)
{
    for (const objectstore::object& o : whole.objects) {
        take_change(o);
    }
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::profile_sink::take_change(const objectstore::object& o)
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
        if (s.service == node.settings_.service) {
            node.profile_ = s.engine;
        }
    }
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::member_sink::take_listing(const objectstore::listing& whole)
{
    std::vector<directory::endpoint_record> records;
    for (const objectstore::object& o : whole.objects) {
        const core::result<directory::endpoint_record> r = Site::decode_endpoint(o);
        if (r) {
            records.push_back(r.value());
        }
    }
    node.members_.take_listing(records);
    node.dial_candidates();
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::member_sink::take_change(const objectstore::object& o)
{
    const core::result<directory::endpoint_record> r =
        o.deleted ? core::result<directory::endpoint_record>(
                        core::error{core::errc::not_found, "removed"})
                  : Site::decode_endpoint(o);
    if (r) {
        node.members_.take(r.value());
    }
    else {
        node.members_.take_removal(core::endpoint_id(o.key.name));
    }
    node.dial_candidates();
}

template <gateway::site_platform Site, rank_port Port>
std::optional<layout_shape> rank_agent_node<Site, Port>::shape() const
{
    if (!profile_ || profile_->expert_layers == 0 || !state_ || state_->group_size == 0) {
        return std::nullopt;
    }
    layout_shape s;
    s.ranks = state_->group_size;
    s.layers = profile_->expert_layers;
    s.experts = profile_->experts;
    s.places_per_rank = profile_->experts_per_rank;
    s.new_per_rank = profile_->new_experts_per_map;
    return s;
}

// ---- The engine beside this agent

template <gateway::site_platform Site, rank_port Port>
core::task<void> rank_agent_node<Site, Port>::watch_engine()
{
    while (!stopping_) {
        const core::result<rank_state> state = co_await engine_.state();
        if (state) {
            state_ = state.value();
            const bool other_map =
                held_.empty() || held_version_ != state_->active || held_epoch_ != state_->epoch;
            if (other_map) {
                const core::result<std::vector<std::vector<expert>>> held = co_await engine_.held();
                const core::result<rank_state> again = co_await engine_.state();
                // The list belongs to the map only if that did not change meanwhile.
                if (held && again && again.value().active == state_->active &&
                    again.value().epoch == state_->epoch) {
                    held_ = held.value();
                    held_version_ = state_->active;
                    held_epoch_ = state_->epoch;
                }
            }
        }
        const std::size_t layers = profile_ ? profile_->expert_layers : 0;
        if (state && layers > 0) {
            const core::result<chosen_experts> chosen = co_await engine_.chosen(layers);
            if (chosen) {
                const expert_counts& counts = chosen.value().counts;
                const bool same_life =
                    counted_life_ == state_->incarnation && last_counts_.size() == counts.size();
                chosen_.resize(counts.size());
                for (std::size_t l = 0; l < counts.size() && same_life; ++l) {
                    chosen_[l].resize(counts[l].size());
                    for (std::size_t e = 0; e < counts[l].size(); ++e) {
                        const double more = counts[l][e] - last_counts_[l][e];
                        chosen_[l][e] += std::max(more, 0.0);
                    }
                }
                last_counts_ = counts;
                counted_life_ = state_->incarnation;
            }
        }
        fresh_state_.notify();
        const bool loading = core::runtime_clock::now() < loading_until_;
        co_await core::sleep_for(loading ? loading_status_interval : status_interval);
    }
}

template <gateway::site_platform Site, rank_port Port>
rank_status rank_agent_node<Site, Port>::own_status() const
{
    rank_status s;
    s.promised = promised_;
    s.state = *state_;
    return s;
}

template <gateway::site_platform Site, rank_port Port>
std::chrono::milliseconds rank_agent_node<Site, Port>::counts_interval() const
{
    const std::optional<layout_shape> s = shape();
    if (!s) {
        return status_interval;
    }
    // All ranks together stay below the bytes that the leader's host may receive for counts.
    const double bytes = static_cast<double>(s->ranks * s->layers * s->experts);
    const std::chrono::duration<double> interval(bytes / counts_bytes_per_second);
    return std::max(status_interval,
                    std::chrono::duration_cast<std::chrono::milliseconds>(interval));
}

template <gateway::site_platform Site, rank_port Port>
rank_status rank_agent_node<Site, Port>::status_for_leader(bool with_held)
{
    rank_status s = own_status();
    const core::time_point now = core::runtime_clock::now();
    if (now - chosen_told_ >= counts_interval()) {
        chosen_told_ = now;
        for (const std::vector<double>& layer : std::exchange(chosen_, {})) {
            s.chosen.push_back(to_compact(layer));
        }
    }
    const bool held_fits = held_version_ == s.state.active && held_epoch_ == s.state.epoch;
    if (with_held && held_fits) {
        s.held_experts = held_;
    }
    return s;
}

// ---- As a member

template <gateway::site_platform Site, rank_port Port>
bool rank_agent_node<Site, Port>::is_candidate(const settings::address& a) const
{
    const std::vector<settings::address> list = members_.candidates();
    return std::find(list.begin(), list.end(), a) != list.end();
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::dial_candidates()
{
    for (const settings::address& candidate : members_.candidates()) {
        if (candidate != settings_.peer_address && dialled_.insert(candidate).second) {
            core::spawn(executor_, follow_candidate(candidate));
        }
    }
}

template <gateway::site_platform Site, rank_port Port>
core::task<void> rank_agent_node<Site, Port>::follow_candidate(settings::address candidate)
{
    using namespace core::asio::experimental::awaitable_operators;
    while (is_candidate(candidate)) {
        core::result<core::asio::ip::tcp::socket> socket =
            co_await wire::connect(candidate, core::runtime_clock::now() + candidate_silence);
        if (socket) {
            const std::shared_ptr<wire::framed_connection> connection =
                std::make_shared<wire::framed_connection>(std::move(socket.value()));
            connection->send(wire::encode(member_hello{settings_.host, settings_.service}));
            co_await (read_candidate(*connection, candidate) || connection->write_loop() ||
                      report_to(*connection, candidate));
            connection->close();
            if (leader_address_ == candidate) {
                core::log_event("group_leader_lost").field("term", promised_);
            }
        }
        co_await core::sleep_for(dial_pause);
    }
    dialled_.erase(candidate);
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::promise(term t, std::string_view to)
{
    if (t <= promised_) {
        return;
    }
    core::log_event("group_leader").field("term", t).field("before", promised_).field("leader", to);
    promised_ = t;
}

template <gateway::site_platform Site, rank_port Port>
core::task<void> rank_agent_node<Site, Port>::read_candidate(wire::framed_connection& connection,
                                                             settings::address candidate)
{
    while (!connection.closed()) {
        const core::result<std::string> frame = co_await core::with_deadline(
            connection.receive(), core::runtime_clock::now() + candidate_silence);
        if (!frame) {
            co_return;
        }
        candidate_heard_[candidate] = core::runtime_clock::now();
        const core::result<leader_claim> claimed = wire::decode<leader_claim>(frame.value());
        if (claimed) {
            const term t = claimed.value().term;
            if (t.value > 0 && fence_known_ && t >= promised_) {
                promise(t, candidate.address().to_string());
                leader_address_ = candidate;
            }
            continue;
        }
        core::result<rank_order> order = wire::decode<rank_order>(frame.value());
        if (order) {
            if (order.value().order.kind == order_kind::load) {
                loading_until_ = core::runtime_clock::now() + load_patience;
            }
            rank_answer answer;
            answer.id = order.value().id;
            if (order.value().term == promised_ && fence_known_) {
                const bool is_load = order.value().order.kind == order_kind::load;
                if (is_load) {
                    order.value().order.experts =
                        layout_from_compact(order.value().experts).value_or(layout{});
                }
                const executed_order done =
                    co_await engine_.execute(std::move(order.value().order));
                answer.result = done.result;
                if (done.state) {
                    state_ = done.state;
                }
                if (is_load) {
                    fresh_state_.notify();
                }
            }
            if (state_) {
                answer.status = own_status();
                connection.send(wire::encode(answer));
            }
        }
    }
}

template <gateway::site_platform Site, rank_port Port>
core::task<void> rank_agent_node<Site, Port>::report_to(wire::framed_connection& connection,
                                                        settings::address candidate)
{
    std::optional<std::pair<group_epoch, core::map_version>> held_told;
    while (!connection.closed()) {
        if (state_) {
            const bool leads = leader_address_ == candidate;
            const std::pair<group_epoch, core::map_version> held_now{held_epoch_, held_version_};
            const bool tell_held = leads && held_told != held_now;
            connection.send(wire::encode(leads ? status_for_leader(tell_held) : own_status()));
            if (tell_held && held_version_ == state_->active && held_epoch_ == state_->epoch) {
                held_told = held_now;
            }
            if (!leads) {
                held_told.reset();
            }
        }
        co_await fresh_state_.wait_until(core::runtime_clock::now() + claim_interval);
    }
}

template <gateway::site_platform Site, rank_port Port>
core::task<void> rank_agent_node<Site, Port>::learn_fence()
{
    while (!fence_known_) {
        const core::result<core::fence> fence =
            co_await expertmaps::read_fence(store_, settings_.service);
        if (fence) {
            fence_known_ = true;
            promise(term{fence.value().value}, "store");
            co_return;
        }
        core::log_event("fence_unknown", core::log_event::level::warning)
            .field("reason", fence.error().detail);
        co_await core::sleep_for(claim_pause);
    }
}

// ---- As a candidate

template <gateway::site_platform Site, rank_port Port>
core::task<void> rank_agent_node<Site, Port>::accept_members()
{
    while (peer_listener_.is_open()) {
        boost::system::error_code failure;
        core::asio::ip::tcp::socket socket = co_await peer_listener_.async_accept(
            core::asio::redirect_error(core::asio::use_awaitable, failure));
        if (failure) {
            co_await core::sleep_for(dial_pause);
            continue;
        }
        core::spawn(executor_,
                    serve_member(std::make_shared<wire::framed_connection>(std::move(socket))));
    }
}

template <gateway::site_platform Site, rank_port Port>
core::task<void>
rank_agent_node<Site, Port>::serve_member(std::shared_ptr<wire::framed_connection> connection)
{
    using namespace core::asio::experimental::awaitable_operators;
    const core::result<std::string> first = co_await core::with_deadline(
        connection->receive(), core::runtime_clock::now() + candidate_silence);
    const core::result<member_hello> hello = first ? wire::decode<member_hello>(first.value())
                                                   : core::result<member_hello>(first.error());
    if (!hello || hello.value().service != settings_.service) {
        core::log_event("member_refused", core::log_event::level::warning)
            .field("reason", hello ? "another service" : hello.error().detail);
        co_return;
    }
    core::log_event("member_up").field("member", hello.value().host);
    const std::shared_ptr<member_session> session = std::make_shared<member_session>();
    session->connection = connection;
    sessions_.push_back(session);
    co_await (read_member(session) || connection->write_loop() || claim_loop(*connection));
    connection->close();
    std::erase(sessions_, session);
    core::log_event("member_down").field("member", hello.value().host);
    if (leader_ && session->rank) {
        leader_->on_lost(*session->rank);
    }
}

template <gateway::site_platform Site, rank_port Port>
core::task<void> rank_agent_node<Site, Port>::read_member(std::shared_ptr<member_session> session)
{
    while (!session->connection->closed()) {
        const core::result<std::string> frame = co_await core::with_deadline(
            session->connection->receive(), core::runtime_clock::now() + candidate_silence);
        if (!frame) {
            co_return;
        }
        const core::time_point now = core::runtime_clock::now();
        const core::result<rank_status> status = wire::decode<rank_status>(frame.value());
        const core::result<rank_answer> answer = status ? core::result<rank_answer>(core::error{})
                                                        : wire::decode<rank_answer>(frame.value());
        if (status) {
            session->rank = status.value().state.rank;
        }
        if (leader_ && status) {
            leader_->on_status(status.value(), now);
        }
        if (leader_ && answer && session->rank) {
            leader_->on_answer(*session->rank, answer.value(), now);
        }
        if (leader_) {
            tick_leader();
        }
    }
}

template <gateway::site_platform Site, rank_port Port>
core::task<void> rank_agent_node<Site, Port>::claim_loop(wire::framed_connection& connection)
{
    while (!connection.closed()) {
        connection.send(wire::encode(leader_claim{leader_ ? leader_->own_term() : term{}}));
        co_await core::sleep_for(claim_interval);
    }
}

template <gateway::site_platform Site, rank_port Port>
bool rank_agent_node<Site, Port>::lower_candidate_lives() const
{
    const core::time_point now = core::runtime_clock::now();
    for (const settings::address& candidate : members_.candidates()) {
        if (candidate == settings_.peer_address) {
            return false;
        }
        const auto heard = candidate_heard_.find(candidate);
        const core::time_point last = heard == candidate_heard_.end() ? started_ : heard->second;
        if (now - last <= candidate_silence) {
            return true;
        }
    }
    // Not a candidate at all.
    return true;
}

template <gateway::site_platform Site, rank_port Port>
core::task<void> rank_agent_node<Site, Port>::lead_loop()
{
    while (!stopping_) {
        co_await core::sleep_for(leader_tick);
        const std::optional<layout_shape> wanted = shape();
        const bool ends = leader_ && (leader_->deposed() || lower_candidate_lives() ||
                                      wanted != leader_->shape());
        if (ends) {
            core::log_event("group_leadership_ends")
                .field("term", leader_->own_term())
                .field("deposed", leader_->deposed());
            leader_.reset();
        }
        if (!leader_ && wanted && fence_known_ && !lower_candidate_lives()) {
            co_await claim();
        }
        if (leader_) {
            tick_leader();
        }
    }
}

template <gateway::site_platform Site, rank_port Port>
core::task<void> rank_agent_node<Site, Port>::claim()
{
    const core::result<core::fence> fence =
        co_await expertmaps::claim_fence(store_, settings_.service, nonce_);
    if (!fence) {
        // Without a leader the layout stays as it is, and serving goes on.
        core::log_event("group_claim_failed", core::log_event::level::warning)
            .field("error", core::to_string(fence.error().code))
            .field("reason", fence.error().detail);
        co_await core::sleep_for(claim_pause);
        co_return;
    }
    const std::optional<layout_shape> wanted = shape();
    if (!wanted) {
        co_return;
    }
    planner_costs costs;
    costs.expert_work_share = profile_->expert_work_share;
    if (profile_->link_megabits_per_second > 0) {
        costs.copy_time = std::chrono::duration<double>(profile_->expert_megabytes * 8 /
                                                        profile_->link_megabits_per_second);
    }
    const term own{fence.value().value};
    promise(own, "self");
    leader_address_ = settings_.peer_address;
    leader_ = std::make_unique<group_leader>(own, state_->rank, *wanted, costs);
    core::counter_for("group_leaderships_total").add();
    for (const std::shared_ptr<member_session>& s : sessions_) {
        s->connection->send(wire::encode(leader_claim{own}));
    }
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::tick_leader()
{
    const core::time_point now = core::runtime_clock::now();
    if (state_ && promised_ == leader_->own_term()) {
        leader_->on_status(status_for_leader(true), now);
    }
    send(leader_->tick(now));
}

template <gateway::site_platform Site, rank_port Port>
void rank_agent_node<Site, Port>::send(std::vector<addressed_order> orders)
{
    for (addressed_order& o : orders) {
        if (o.order.kind == order_kind::load) {
            loading_until_ = core::runtime_clock::now() + load_patience;
        }
        if (state_ && o.rank == state_->rank) {
            core::spawn(executor_, carry_out_locally(std::move(o)));
            continue;
        }
        for (const std::shared_ptr<member_session>& s : sessions_) {
            if (s->rank == o.rank) {
                rank_order message{++last_order_, leader_->own_term(), {}, {}};
                if (o.order.kind == order_kind::load) {
                    message.experts = to_compact(o.order.experts);
                }
                message.order = std::move(o.order);
                s->connection->send(wire::encode(message));
                break;
            }
        }
    }
}

template <gateway::site_platform Site, rank_port Port>
core::task<void> rank_agent_node<Site, Port>::carry_out_locally(addressed_order order)
{
    const term under = leader_ ? leader_->own_term() : term{};
    const executed_order done = co_await engine_.execute(std::move(order.order));
    if (done.state) {
        state_ = done.state;
    }
    if (!leader_ || leader_->own_term() != under || promised_ != under || !state_) {
        co_return;
    }
    rank_answer answer;
    answer.result = done.result;
    answer.status = own_status();
    leader_->on_answer(order.rank, answer, core::runtime_clock::now());
    tick_leader();
}

} // namespace currantpitch::rankcontrol
