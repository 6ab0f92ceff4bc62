#pragma once

#include "core/counters.h"
#include "core/eventlog.h"
#include "expertmaps/expertmapsconstants.h"
#include "expertmaps/groupmembers.h"
#include "expertmaps/popularity.h"
#include "expertmaps/rankcontroller.h"
#include "expertmaps/samplecollector.h"
#include "expertmaps/switchleader.h"
#include "wire/framedconnection.h"
#include "wire/packer.h"
#include "wire/unpacker.h"
#include "wire/wireconstants.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace currantpitch::expertmaps {

/// Intervals and timeouts of a coordinator. Tests use shorter ones.
struct coordinator_timing {
    std::chrono::milliseconds planning = planning_interval;
    std::chrono::milliseconds report = report_interval;
    std::chrono::milliseconds tick{100};
    std::chrono::milliseconds leader_timeout = leader_heartbeat_timeout;
};

/// Participation of one agent in its group. Executes orders on the agent's rank, and leads the
/// group when the agent is the first candidate that is alive. Leadership is claimed by one
/// conditional write and needs no renewal. When a paused leader resumes after another agent has
/// claimed leadership, its orders are refused because of their lower fence.
template <objectstore::store_client Store, rank_engine Engine>
class group_coordinator {
public:
    group_coordinator(const core::asio::any_io_executor& executor, Store& store, Engine& engine,
                      core::host_id self, core::incarnation own_incarnation,
                      coordinator_timing timing = {})
        : executor_(executor), store_(store), self_(std::move(self)),
          own_incarnation_(own_incarnation), timing_(timing),
          rank_controller_(executor, store, engine)
    {
    }

    /// Applies the group's configuration. Called again when the configuration changes.
    void configure(group_configuration configuration);
    /// Applies a status report of the engine.
    void on_status(const rank_status& status);
    /// Serves a member's connection after its hello has been received.
    core::task<void> serve(std::shared_ptr<wire::framed_connection> connection, group_hello hello);
    /// Runs the periodic work of the coordinator until stop() is called.
    core::task<void> run();
    /// Ends the periodic work and all connections with the group.
    void stop();

    bool is_leader() const { return leader_ != nullptr; }
    core::map_version active() const { return rank_controller_.state().active; }

private:
    struct member_session {
        std::shared_ptr<wire::framed_connection> connection;
        core::incarnation incarnation;
    };

    bool is_member() const { return own_rank_.has_value(); }
    std::vector<group_member> candidates() const;
    core::task<void> maintain_candidate_connection(group_member candidate);
    core::task<void> receive_orders(wire::framed_connection& connection, group_member candidate);
    core::task<void> send_reports(wire::framed_connection& connection);
    core::task<void> execute_locally(rank_order order);
    void on_answer(const rank_answer& answer);
    rank_report own_report() const;
    bool lower_rank_candidate_running() const;
    core::task<void> claim_leadership();
    void run_leader_tasks(core::time_point now);
    void propose_next_map(core::time_point now);
    void send(std::vector<addressed_order> orders);
    void log_plan(const plan& p) const;

    core::asio::any_io_executor executor_;
    Store& store_;
    core::host_id self_;
    core::incarnation own_incarnation_;
    coordinator_timing timing_;

    group_configuration configuration_;
    std::optional<std::uint32_t> own_rank_;
    rank_controller<Store, Engine> rank_controller_;

    std::map<core::host_id, core::time_point> candidate_last_contact_;
    std::set<core::host_id> contacted_candidates_;
    std::map<std::uint32_t, member_session> sessions_;
    std::unique_ptr<switch_leader> leader_;
    bool claiming_ = false;
    std::optional<planner> planner_;
    std::optional<popularity_tracker> popularity_;
    expert_map current_map_;
    std::optional<sample_collector> samples_;
    core::time_point next_plan_;
    core::time_point next_sample_;
    core::time_point started_at_;
    core::step_number previous_step_;
    core::time_point previous_step_at_;
    double steps_per_second_ = 0;
    bool stopped_ = false;
};

template <objectstore::store_client Store, rank_engine Engine>
void group_coordinator<Store, Engine>::configure(group_configuration configuration)
{
    const bool same_shape =
        planner_ && configuration.group == configuration_.group &&
        configuration.options.shape.ranks == configuration_.options.shape.ranks &&
        configuration.options.shape.experts == configuration_.options.shape.experts &&
        configuration.options.shape.slots_per_rank == configuration_.options.shape.slots_per_rank;
    configuration_ = std::move(configuration);
    own_rank_.reset();
    for (const group_member& m : configuration_.members) {
        if (m.host == self_) {
            own_rank_ = m.rank;
        }
    }
    if (same_shape) {
        planner_->set_options(configuration_.options);
    }
    else {
        planner_.emplace(configuration_.options);
        popularity_.emplace(configuration_.options.shape.experts,
                            configuration_.options.shape.ranks);
        samples_.emplace(configuration_.options.shape);
        current_map_ = initial_map(configuration_.options.shape);
        leader_.reset();
    }
    if (!is_member()) {
        leader_.reset();
        return;
    }
    rank_controller_.set_rank(*own_rank_);
    for (const group_member& candidate : candidates()) {
        if (candidate.host != self_ && contacted_candidates_.insert(candidate.host).second) {
            core::spawn(executor_, maintain_candidate_connection(candidate));
        }
    }
}

template <objectstore::store_client Store, rank_engine Engine>
void group_coordinator<Store, Engine>::stop()
{
    stopped_ = true;
    leader_.reset();
    for (const std::pair<const std::uint32_t, member_session>& entry : sessions_) {
        entry.second.connection->close();
    }
}

template <objectstore::store_client Store, rank_engine Engine>
std::vector<group_member> group_coordinator<Store, Engine>::candidates() const
{
    std::vector<group_member> list = configuration_.members;
    std::sort(list.begin(), list.end(),
              [](const group_member& a, const group_member& b) { return a.rank < b.rank; });
    list.resize(std::min(list.size(), max_leader_candidates));
    return list;
}

template <objectstore::store_client Store, rank_engine Engine>
void group_coordinator<Store, Engine>::on_status(const rank_status& status)
{
    const bool replaced =
        rank_controller_.on_status(status, own_rank_.value_or(0), configuration_.group);
    // If another agent leads, send_reports() closes the connection to it. That leader queries the
    // rank again when the connection is restored.
    if (replaced && leader_) {
        send(leader_->on_rank_reconnected(*own_rank_, core::runtime_clock::now()));
    }
}

template <objectstore::store_client Store, rank_engine Engine>
core::task<void>
group_coordinator<Store, Engine>::maintain_candidate_connection(group_member candidate)
{
    using namespace core::asio::experimental::awaitable_operators;
    while (!stopped_) {
        core::result<core::asio::ip::tcp::socket> socket = co_await wire::connect(
            candidate.address, core::runtime_clock::now() + std::chrono::seconds(1));
        if (socket && is_member()) {
            wire::framed_connection connection(std::move(socket.value()));
            connection.send(wire::encode(
                group_hello{configuration_.group, self_, own_incarnation_, *own_rank_}));
            co_await (receive_orders(connection, candidate) || connection.write_loop() ||
                      send_reports(connection));
            connection.close();
        }
        co_await core::sleep_for(timing_.tick * 2);
    }
}

template <objectstore::store_client Store, rank_engine Engine>
core::task<void>
group_coordinator<Store, Engine>::receive_orders(wire::framed_connection& connection,
                                                 group_member candidate)
{
    while (!connection.closed()) {
        const core::result<std::string> frame = co_await connection.receive();
        if (!frame) {
            co_return;
        }
        candidate_last_contact_[candidate.host] = core::runtime_clock::now();
        const core::result<std::uint8_t> type = wire::message_type(frame.value());
        if (!type) {
            co_return;
        }
        if (type.value() == rank_order_type) {
            core::result<rank_order> order = wire::decode<rank_order>(frame.value());
            if (!order) {
                co_return;
            }
            const rank_answer answer = co_await rank_controller_.execute_order(
                std::move(order.value()), configuration_.group);
            connection.send(wire::encode(answer));
        }
    }
}

template <objectstore::store_client Store, rank_engine Engine>
core::task<void> group_coordinator<Store, Engine>::send_reports(wire::framed_connection& connection)
{
    const core::incarnation engine_incarnation = rank_controller_.status().incarnation;
    core::time_point next_report = core::runtime_clock::now();
    while (!connection.closed() && !stopped_ &&
           rank_controller_.status().incarnation == engine_incarnation) {
        if (core::runtime_clock::now() - connection.last_received() > wire::heartbeat_timeout) {
            co_return;
        }
        if (core::runtime_clock::now() >= next_report) {
            connection.send(wire::encode(own_report()));
            next_report = core::runtime_clock::now() + timing_.report;
        }
        connection.send(wire::encode(group_heartbeat{}));
        co_await core::sleep_for(
            std::min<core::duration>(timing_.report, wire::heartbeat_interval));
    }
}

template <objectstore::store_client Store, rank_engine Engine>
rank_report group_coordinator<Store, Engine>::own_report() const
{
    return {own_rank_.value_or(0), rank_controller_.status().step,
            to_token_counts(rank_controller_.status().expert_tokens),
            rank_controller_.status().step_time, rank_controller_.status().age};
}

template <objectstore::store_client Store, rank_engine Engine>
core::task<void> group_coordinator<Store, Engine>::execute_locally(rank_order order)
{
    const rank_answer answer =
        co_await rank_controller_.execute_order(std::move(order), configuration_.group);
    on_answer(answer);
}

template <objectstore::store_client Store, rank_engine Engine>
core::task<void>
group_coordinator<Store, Engine>::serve(std::shared_ptr<wire::framed_connection> connection,
                                        group_hello hello)
{
    using namespace core::asio::experimental::awaitable_operators;
    const bool known = std::any_of(
        configuration_.members.begin(), configuration_.members.end(),
        [&hello](const group_member& m) { return m.rank == hello.rank && m.host == hello.host; });
    core::log_event("group_member")
        .field("group", hello.group)
        .field("member", hello.host)
        .field("rank", hello.rank)
        .field("accepted", known);
    if (!known || hello.group != configuration_.group) {
        co_return;
    }
    const auto previous = sessions_.find(hello.rank);
    if (previous != sessions_.end()) {
        previous->second.connection->close();
    }
    sessions_[hello.rank] = {connection, hello.incarnation};
    if (leader_) {
        send(leader_->on_rank_reconnected(hello.rank, core::runtime_clock::now()));
    }
    core::task<void> receiver = [](group_coordinator& self,
                                   wire::framed_connection& c) -> core::task<void> {
        while (!c.closed()) {
            const core::result<std::string> frame = co_await c.receive();
            if (!frame) {
                co_return;
            }
            const core::result<rank_answer> answer = wire::decode<rank_answer>(frame.value());
            const core::result<rank_report> report = wire::decode<rank_report>(frame.value());
            if (answer) {
                self.on_answer(answer.value());
            }
            if (report) {
                self.samples_->on_report(report.value());
            }
        }
    }(*this, *connection);
    core::task<void> heartbeats = [](wire::framed_connection& c) -> core::task<void> {
        while (!c.closed() &&
               core::runtime_clock::now() - c.last_received() <= wire::heartbeat_timeout) {
            c.send(wire::encode(group_heartbeat{}));
            co_await core::sleep_for(wire::heartbeat_interval);
        }
    }(*connection);
    co_await (std::move(receiver) || connection->write_loop() || std::move(heartbeats));
    connection->close();
    const auto session = sessions_.find(hello.rank);
    if (session != sessions_.end() && session->second.connection == connection) {
        sessions_.erase(session);
    }
}

template <objectstore::store_client Store, rank_engine Engine>
bool group_coordinator<Store, Engine>::lower_rank_candidate_running() const
{
    for (const group_member& candidate : candidates()) {
        if (candidate.host == self_) {
            return false;
        }
        const auto last_contact = candidate_last_contact_.find(candidate.host);
        const core::time_point last =
            last_contact == candidate_last_contact_.end() ? started_at_ : last_contact->second;
        if (core::runtime_clock::now() - last <= timing_.leader_timeout) {
            return true;
        }
    }
    // This agent is not a candidate.
    return true;
}

template <objectstore::store_client Store, rank_engine Engine>
core::task<void> group_coordinator<Store, Engine>::run()
{
    started_at_ = core::runtime_clock::now();
    while (!stopped_) {
        co_await core::sleep_for(timing_.tick);
        const core::time_point now = core::runtime_clock::now();
        const bool ready = !stopped_ && is_member() && configuration_.complete() &&
                           rank_controller_.status().incarnation != core::incarnation{};
        if (!ready) {
            continue;
        }
        if (leader_ &&
            (leader_->phase() == leader_phase::deposed || lower_rank_candidate_running())) {
            core::log_event("map_leader_ends")
                .field("group", configuration_.group)
                .field("fence", leader_->fence());
            leader_.reset();
        }
        if (!leader_ && !claiming_ && !lower_rank_candidate_running()) {
            co_await claim_leadership();
        }
        if (leader_) {
            run_leader_tasks(now);
        }
    }
}

template <objectstore::store_client Store, rank_engine Engine>
core::task<void> group_coordinator<Store, Engine>::claim_leadership()
{
    claiming_ = true;
    const core::result<core::fence> fence =
        co_await claim_fence(store_, configuration_.group.str(), own_incarnation_.value);
    claiming_ = false;
    if (!fence) {
        // Without a leader, the map stays unchanged and serving continues.
        co_await core::sleep_for(timing_.leader_timeout);
        co_return;
    }
    core::log_event("map_leader")
        .field("group", configuration_.group)
        .field("host", self_)
        .field("fence", fence.value());
    core::counter_for("map_leaderships_total").add();
    leader_ = std::make_unique<switch_leader>(fence.value(), configuration_.options.shape.ranks);
    next_plan_ = core::runtime_clock::now() + timing_.planning;
    send(leader_->begin(core::runtime_clock::now()));
}

template <objectstore::store_client Store, rank_engine Engine>
void group_coordinator<Store, Engine>::send(std::vector<addressed_order> orders)
{
    for (addressed_order& o : orders) {
        const bool is_adopt = o.order.kind == order_kind::adopt;
        if (is_adopt && current_map_.version == o.order.version) {
            o.order.map = current_map_;
        }
        if (own_rank_ && o.rank == *own_rank_) {
            core::spawn(executor_, execute_locally(std::move(o.order)));
            continue;
        }
        const auto session = sessions_.find(o.rank);
        if (session != sessions_.end()) {
            session->second.connection->send(wire::encode(o.order));
        }
    }
}

template <objectstore::store_client Store, rank_engine Engine>
void group_coordinator<Store, Engine>::on_answer(const rank_answer& answer)
{
    if (!leader_) {
        return;
    }
    if (answer.map && answer.map->version >= current_map_.version &&
        validate(*answer.map, configuration_.options.shape).empty()) {
        current_map_ = *answer.map;
    }
    const leader_phase before = leader_->phase();
    send(leader_->on_answer(answer, core::runtime_clock::now()));
    if (leader_->phase() != before) {
        core::log_event("map_switch")
            .field("group", configuration_.group)
            .field("fence", leader_->fence())
            .field("from", to_string(before))
            .field("to", to_string(leader_->phase()))
            .field("rank", answer.rank)
            .field("reason", answer.reason);
    }
    if (before == leader_phase::committing && leader_->phase() == leader_phase::idle &&
        rank_controller_.staged_map()) {
        current_map_ = *rank_controller_.staged_map();
    }
}

template <objectstore::store_client Store, rank_engine Engine>
void group_coordinator<Store, Engine>::run_leader_tasks(core::time_point now)
{
    send(leader_->tick(now));
    const double seconds = std::chrono::duration<double>(now - previous_step_at_).count();
    if (seconds > 0.5) {
        steps_per_second_ =
            static_cast<double>(rank_controller_.status().step.value - previous_step_.value) /
            seconds;
        previous_step_ = rank_controller_.status().step;
        previous_step_at_ = now;
    }
    if (leader_->staged()) {
        const double lead_steps =
            std::chrono::duration<double>(prepare_lead_time).count() * steps_per_second_;
        const std::uint64_t ahead =
            std::max(min_prepare_lead_steps, static_cast<std::uint64_t>(std::max(lead_steps, 0.0)));
        const std::uint64_t from =
            std::max(rank_controller_.status().step.value, leader_->last_step().value);
        send(leader_->prepare_at(core::step_number{from + ahead}, now));
    }
    if (now >= next_sample_) {
        next_sample_ = now + timing_.report;
        samples_->on_report(own_report());
        const std::optional<group_sample> sample = samples_->collect(current_map_, now);
        if (sample) {
            const core::result<void> accepted = popularity_->add(*sample, now);
            core::counter_for(accepted ? "group_samples_taken_total"
                                       : "group_samples_ignored_total")
                .add();
        }
    }
    if (now >= next_plan_ && leader_->phase() == leader_phase::idle) {
        next_plan_ = now + timing_.planning;
        propose_next_map(now);
    }
}

template <objectstore::store_client Store, rank_engine Engine>
void group_coordinator<Store, Engine>::propose_next_map(core::time_point now)
{
    const plan p = planner_->make(current_map_, popularity_->estimate(now), now);
    log_plan(p);
    core::counter_for("map_plans_total", "reason=\"" + std::string(to_string(p.reason)) + "\"")
        .add();
    if (p.changes()) {
        send(leader_->propose(p.map, now));
    }
}

template <objectstore::store_client Store, rank_engine Engine>
void group_coordinator<Store, Engine>::log_plan(const plan& p) const
{
    core::log_event("placement")
        .field("group", configuration_.group)
        .field("reason", to_string(p.reason))
        .field("skew_before", p.skew_before)
        .field("skew_after", p.skew_after)
        .field("gain", p.gain)
        .field("cost", p.cost)
        .field("moved_replicas", p.moved)
        .field("moved_bytes", p.moved_bytes);
}

} // namespace currantpitch::expertmaps
