#pragma once

#include "core/counters.h"
#include "expertmaps/fenceclaim.h"
#include "rankcontrol/groupleader.h"
#include "rankcontrol/memberside.h"

namespace currantpitch::rankcontrol {

/// The candidate role of an agent in its group: serves the members that connect, and leads the
/// group while no earlier candidate is alive.
template <class Store, rank_port Port>
class candidate_side {
public:
    candidate_side(agent_context& context, Store& store, engine_monitor<Port>& engine,
                   member_side<Port>& member, std::uint64_t nonce)
        : context_(context), store_(store), engine_(engine), member_(member), nonce_(nonce)
    {
    }

    /// Serves the connection of one member until it is closed or times out.
    core::task<void> serve_member(std::shared_ptr<wire::framed_connection> connection);
    /// Reads the highest term from the store, then leads while no earlier candidate is alive.
    core::task<void> run();
    bool is_leading() const { return leader_ != nullptr; }

private:
    struct session {
        std::shared_ptr<wire::framed_connection> connection;
        std::optional<std::uint32_t> rank;
    };

    core::task<void> read(std::shared_ptr<session> s);
    core::task<void> send_claims(std::shared_ptr<session> s);
    core::task<void> fetch_fence();
    core::task<void> claim_leadership();
    void begin_leading(term own, const layout_shape& shape);
    void tick();
    void send(std::vector<addressed_order> orders);
    core::task<void> execute_locally(addressed_order order);

    agent_context& context_;
    Store& store_;
    engine_monitor<Port>& engine_;
    member_side<Port>& member_;
    std::uint64_t nonce_;
    std::vector<std::shared_ptr<session>> sessions_;
    std::unique_ptr<group_leader> leader_;
    std::uint64_t last_order_ = 0;
};

template <class Store, rank_port Port>
core::task<void>
candidate_side<Store, Port>::serve_member(std::shared_ptr<wire::framed_connection> connection)
{
    using namespace core::asio::experimental::awaitable_operators;
    const core::result<std::string> first_frame = co_await core::with_deadline(
        connection->receive(), core::runtime_clock::now() + candidate_heartbeat_timeout);
    const core::result<member_hello> hello = first_frame
                                                 ? wire::decode<member_hello>(first_frame.value())
                                                 : core::result<member_hello>(first_frame.error());
    if (!hello || hello.value().service != context_.settings.service) {
        core::log_event("member_refused", core::log_event::level::warning)
            .field("reason", hello ? "another service" : hello.error().detail);
        co_return;
    }
    core::log_event("member_up").field("member", hello.value().host);
    const std::shared_ptr<session> s = std::make_shared<session>();
    s->connection = connection;
    sessions_.push_back(s);
    co_await (read(s) || connection->write_loop() || send_claims(s));
    connection->close();
    std::erase(sessions_, s);
    core::log_event("member_down").field("member", hello.value().host);
    if (leader_ && s->rank) {
        leader_->on_disconnected(*s->rank);
    }
}

template <class Store, rank_port Port>
core::task<void> candidate_side<Store, Port>::read(std::shared_ptr<session> s)
{
    while (!s->connection->closed()) {
        const core::result<std::string> frame = co_await core::with_deadline(
            s->connection->receive(), core::runtime_clock::now() + candidate_heartbeat_timeout);
        if (!frame) {
            co_return;
        }
        const core::time_point now = core::runtime_clock::now();
        const core::result<rank_status> status = wire::decode<rank_status>(frame.value());
        const core::result<rank_answer> answer = status ? core::result<rank_answer>(core::error{})
                                                        : wire::decode<rank_answer>(frame.value());
        if (status) {
            s->rank = status.value().state.rank;
        }
        if (leader_ && status) {
            leader_->on_status(status.value(), now);
        }
        if (leader_ && answer && s->rank) {
            leader_->on_answer(*s->rank, answer.value(), now);
        }
        // While no switch is under way, the periodic tick is enough.
        if (leader_ && leader_->progress().phase() != switch_phase::idle) {
            tick();
        }
    }
}

template <class Store, rank_port Port>
core::task<void> candidate_side<Store, Port>::send_claims(std::shared_ptr<session> s)
{
    while (!s->connection->closed()) {
        s->connection->send(wire::encode(leader_claim{leader_ ? leader_->own_term() : term{}}));
        co_await core::sleep_for(claim_interval);
    }
}

template <class Store, rank_port Port>
core::task<void> candidate_side<Store, Port>::fetch_fence()
{
    while (!context_.fence_known) {
        const core::result<core::fence> fence =
            co_await expertmaps::read_fence(store_, context_.settings.service);
        if (fence) {
            context_.fence_known = true;
            context_.promise(term{fence.value().value}, "store");
            co_return;
        }
        core::log_event("fence_unknown", core::log_event::level::warning)
            .field("reason", fence.error().detail);
        co_await core::sleep_for(claim_retry_delay);
    }
}

template <class Store, rank_port Port>
core::task<void> candidate_side<Store, Port>::run()
{
    co_await fetch_fence();
    while (!context_.stopping) {
        co_await core::sleep_for(leader_tick_interval);
        const std::optional<layout_shape> current_shape = engine_.shape();
        const bool earlier_running = member_.earlier_candidate_running();
        const bool must_step_down =
            leader_ && (leader_->deposed() || earlier_running || current_shape != leader_->shape());
        if (must_step_down) {
            core::log_event("group_leadership_ends")
                .field("term", leader_->own_term())
                .field("deposed", leader_->deposed());
            leader_.reset();
        }
        if (!leader_ && current_shape && !earlier_running) {
            co_await claim_leadership();
        }
        if (leader_) {
            tick();
        }
    }
}

template <class Store, rank_port Port>
core::task<void> candidate_side<Store, Port>::claim_leadership()
{
    const core::result<core::fence> fence =
        co_await expertmaps::claim_fence(store_, context_.settings.service, nonce_);
    if (!fence) {
        // Without a leader the layout does not change, and serving continues.
        core::log_event("group_claim_failed", core::log_event::level::warning)
            .field("error", core::to_string(fence.error().code))
            .field("reason", fence.error().detail);
        co_await core::sleep_for(claim_retry_delay);
        co_return;
    }
    const std::optional<layout_shape> current_shape = engine_.shape();
    if (current_shape) {
        begin_leading(term{fence.value().value}, *current_shape);
    }
}

template <class Store, rank_port Port>
void candidate_side<Store, Port>::begin_leading(term own, const layout_shape& shape)
{
    const routes::engine_profile& profile = *context_.profile;
    planner_costs costs;
    costs.expert_work_share = profile.expert_work_share;
    if (profile.link_megabits_per_second > 0) {
        costs.copy_time = std::chrono::duration<double>(profile.expert_megabytes * 8 /
                                                        profile.link_megabits_per_second);
    }
    context_.promise(own, "self");
    context_.leader = context_.settings.peer_address;
    leader_ = std::make_unique<group_leader>(own, engine_.state()->rank, shape, costs,
                                             context_.target_gap);
    core::counter_for("group_leaderships_total").add();
    for (const std::shared_ptr<session>& s : sessions_) {
        s->connection->send(wire::encode(leader_claim{own}));
    }
}

template <class Store, rank_port Port>
void candidate_side<Store, Port>::tick()
{
    const core::time_point now = core::runtime_clock::now();
    if (engine_.state() && context_.promised == leader_->own_term()) {
        leader_->on_status(engine_.status_for_leader(true), now);
    }
    send(leader_->tick(now));
}

template <class Store, rank_port Port>
void candidate_side<Store, Port>::send(std::vector<addressed_order> orders)
{
    // Every rank gets the same layout, so it is encoded only once.
    std::string layout_bytes;
    for (addressed_order& o : orders) {
        if (engine_.state() && o.rank == engine_.state()->rank) {
            core::spawn(context_.executor, execute_locally(std::move(o)));
            continue;
        }
        for (const std::shared_ptr<session>& s : sessions_) {
            if (s->rank == o.rank) {
                rank_order message{++last_order_, leader_->own_term(), {}, {}};
                if (o.order.kind == order_kind::load) {
                    if (layout_bytes.empty()) {
                        layout_bytes = to_compact(o.order.experts);
                    }
                    message.experts = layout_bytes;
                }
                message.order = std::move(o.order);
                s->connection->send(wire::encode(message));
                break;
            }
        }
    }
}

template <class Store, rank_port Port>
core::task<void> candidate_side<Store, Port>::execute_locally(addressed_order order)
{
    const term order_term = leader_ ? leader_->own_term() : term{};
    const executed_order executed = co_await engine_.execute(std::move(order.order));
    if (!leader_ || leader_->own_term() != order_term || context_.promised != order_term ||
        !engine_.state()) {
        co_return;
    }
    rank_answer answer;
    answer.result = executed.result;
    answer.status = engine_.own_status();
    leader_->on_answer(order.rank, answer, core::runtime_clock::now());
    tick();
}

} // namespace currantpitch::rankcontrol
