#pragma once

#include "core/counters.h"
#include "expertmaps/fenceclaim.h"
#include "rankcontrol/directreach.h"
#include "rankcontrol/groupleader.h"
#include "rankcontrol/memberside.h"

namespace currantpitch::rankcontrol {

/// The candidate role of an agent in its group: serves the members that connect, and leads the
/// group from when no earlier candidate is alive and no other one leads. A leader leads until it
/// ends or a later term is claimed: an earlier candidate that returns does not depose it.
template <class Store, rank_port Port>
class candidate_side {
public:
    candidate_side(agent_context& context, Store& store, engine_monitor<Port>& engine,
                   member_side<Port>& member, std::uint64_t nonce)
        : context_(context), store_(store), engine_(engine), member_(member), nonce_(nonce),
          direct_(context, *this)
    {
    }

    /// Serves the connection of one member until it is closed or times out.
    core::task<void> serve_member(std::shared_ptr<wire::framed_connection> connection);
    /// Reads the highest term from the store, then leads when it may.
    core::task<void> run();
    bool is_leading() const { return leader_ != nullptr; }
    /// Ends or withdraws the switch under way, ends the leadership and informs the other
    /// candidates, so that one of them leads at once. Takes up to handover_limit.
    core::task<void> hand_over();

    bool lacks_experts(const rank_state& state) const;
    bool on_direct_state(const rank_state& state, std::vector<std::vector<expert>> held);
    void on_direct_answer(const addressed_order& order, const executed_order& executed);
    bool switch_under_way() const
    {
        return leader_ && leader_->progress().phase() != switch_phase::idle;
    }

private:
    struct session {
        std::shared_ptr<wire::framed_connection> connection;
        core::host_id member;
        /// Address of the member's host; unspecified if the member did not name it.
        boost::asio::ip::address address;
        /// When the last status arrived, and when the first one came after a silence.
        core::time_point status_at;
        core::time_point returned_at;
        std::optional<std::uint32_t> rank;
        /// Reason why the last status was refused; empty if it was not.
        std::string_view last_finding;
        /// Id and version of the last load order, and the latest layout that the member has.
        std::pair<order_id, core::map_version> sent_layout;
        std::optional<core::map_version> known_layout;
        bool needs_complete_layout = false;
    };

    core::task<void> read(std::shared_ptr<session> s);
    /// Whether the statuses of the session are used; not while its engine is reached directly.
    bool is_in_use(session& s, const rank_status& status, core::time_point now);
    /// Reaches the engines whose agents are silent while a switch is under way.
    void reach_silent_ranks(core::time_point now);
    core::task<void> send_claims(std::shared_ptr<session> s);
    /// Whether the status fits the group as the other members describe it. Ends the session of a
    /// member of another group.
    bool accepts(session& s, const rank_status& status);
    core::task<void> fetch_fence();
    core::task<void> claim_leadership();
    void begin_leading(term own, const layout_shape& shape);
    void end_leading(std::string_view reason);
    void tick();
    void send(std::vector<addressed_order> orders);
    /// Version of a layout that the member has or probably has; empty if there is none.
    std::optional<core::map_version> base_for(const session& s) const;
    void on_layout_answer(session& s, const rank_answer& answer);
    core::task<void> execute_locally(addressed_order order, order_origin origin);

    agent_context& context_;
    Store& store_;
    engine_monitor<Port>& engine_;
    member_side<Port>& member_;
    std::uint64_t nonce_;
    std::vector<std::shared_ptr<session>> sessions_;
    std::unique_ptr<group_leader> leader_;
    /// Group that the agent belongs to while it leads or claims the leadership.
    core::group_id group_;
    /// Highest term that a member of the group has obeyed or has a layout of.
    term highest_term_;
    core::time_point leading_since_;
    bool handing_over_ = false;
    direct_reach<Port, candidate_side> direct_;
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
    const bool same_group =
        hello && !context_.group.empty() && hello.value().group == context_.own_group();
    if (!same_group) {
        core::counter_for("members_refused_total").add();
        core::log_event("member_refused", core::log_event::level::warning)
            .field("reason", hello ? "another group" : hello.error().detail)
            .field("group", hello ? hello.value().group.group : core::group_id());
        co_return;
    }
    core::log_event("member_up").field("member", hello.value().host);
    const std::shared_ptr<session> s = std::make_shared<session>();
    s->connection = connection;
    s->member = hello.value().host;
    boost::system::error_code not_an_address;
    s->address = boost::asio::ip::make_address(hello.value().address, not_an_address);
    sessions_.push_back(s);
    co_await (read(s) || connection->write_loop() || send_claims(s) ||
              until_silent(connection, context_.standstill) || context_.group_changed.wait());
    connection->close();
    std::erase(sessions_, s);
    core::log_event("member_down").field("member", hello.value().host);
    if (leader_ && s->rank && !direct_.reaches(*s->rank)) {
        leader_->on_disconnected(*s->rank);
    }
}

template <class Store, rank_port Port>
core::task<void> candidate_side<Store, Port>::read(std::shared_ptr<session> s)
{
    while (!s->connection->closed()) {
        const core::result<std::string> frame = co_await s->connection->receive();
        if (!frame) {
            co_return;
        }
        const core::time_point now = core::runtime_clock::now();
        const core::result<rank_status> status = wire::decode<rank_status>(frame.value());
        const core::result<rank_answer> answer = status ? core::result<rank_answer>(core::error{})
                                                        : wire::decode<rank_answer>(frame.value());
        if (status && accepts(*s, status.value()) && is_in_use(*s, status.value(), now)) {
            leader_->on_status(status.value(), now);
        }
        if (answer) {
            on_layout_answer(*s, answer.value());
        }
        if (answer && accepts(*s, answer.value().status) &&
            is_in_use(*s, answer.value().status, now)) {
            leader_->on_answer(*s->rank, answer.value(), now);
        }
        // While no switch is under way, the periodic tick is enough.
        if (leader_ && leader_->progress().phase() != switch_phase::idle) {
            tick();
        }
    }
}

template <class Store, rank_port Port>
bool candidate_side<Store, Port>::accepts(session& s, const rank_status& status)
{
    const rank_state& state = status.state;
    std::string_view finding;
    if (state.group != context_.group) {
        finding = "another_group";
        s.connection->close();
    }
    else if (engine_.shape() && state.group_size != engine_.shape()->ranks) {
        finding = "another_group_size";
    }
    else if (state.rank >= state.group_size) {
        finding = "rank_out_of_range";
    }
    else if (engine_.state() && state.rank == engine_.state()->rank) {
        finding = "rank_used_twice";
    }
    for (const std::shared_ptr<session>& other : sessions_) {
        if (finding.empty() && other.get() != &s && other->rank == state.rank) {
            // An earlier session of the same host ends by its timeout.
            finding = other->member == s.member ? std::string_view() : "rank_used_twice";
        }
    }
    if (finding.empty()) {
        s.rank = state.rank;
        highest_term_ = std::max({highest_term_, status.promised, newest_term(state)});
        return true;
    }
    if (s.rank && leader_ && !direct_.reaches(*s.rank)) {
        leader_->on_disconnected(*s.rank);
    }
    s.rank.reset();
    core::counter_for("member_statuses_refused_total").add();
    if (s.last_finding != finding) {
        core::log_event("member_status_refused", core::log_event::level::warning)
            .field("member", s.member)
            .field("reason", finding)
            .field("group", state.group)
            .field("rank", state.rank)
            .field("group_size", state.group_size);
    }
    s.last_finding = finding;
    return false;
}

template <class Store, rank_port Port>
core::task<void> candidate_side<Store, Port>::send_claims(std::shared_ptr<session> s)
{
    while (!s->connection->closed()) {
        s->connection->send(wire::encode(leader_claim{
            context_.group, leader_ ? leader_->own_term() : term{}, handing_over_ && !leader_}));
        co_await core::sleep_for(claim_interval);
    }
}

template <class Store, rank_port Port>
core::task<void> candidate_side<Store, Port>::fetch_fence()
{
    const group_key group = context_.own_group();
    const core::result<core::fence> fence =
        co_await expertmaps::read_fence(store_, group.object_name());
    if (group != context_.own_group()) {
        co_return;
    }
    if (fence) {
        context_.fence_known = true;
        context_.promise(term{fence.value().value}, "store");
        co_return;
    }
    core::log_event("fence_unknown", core::log_event::level::warning)
        .field("group", group.group)
        .field("reason", fence.error().detail);
    co_await core::sleep_for(claim_retry_delay);
}

template <class Store, rank_port Port>
core::task<void> candidate_side<Store, Port>::run()
{
    while (!context_.stopping) {
        co_await core::sleep_for(leader_tick_interval);
        if (group_ != context_.group) {
            end_leading("group_changed");
            group_ = context_.group;
            highest_term_ = term{};
        }
        if (!context_.fence_known) {
            if (!group_.empty()) {
                co_await fetch_fence();
            }
            continue;
        }
        const std::optional<layout_shape> current_shape = engine_.shape();
        if (leader_ && leader_->deposed()) {
            end_leading("deposed");
        }
        if (leader_ && context_.promised > leader_->own_term()) {
            end_leading("later_term");
        }
        if (leader_ && !member_.is_own_candidate()) {
            end_leading("not_a_candidate");
        }
        if (leader_ && current_shape != leader_->shape()) {
            end_leading("shape_changed");
        }
        if (!leader_ && !handing_over_ && current_shape && member_.may_claim()) {
            co_await claim_leadership();
        }
        if (leader_) {
            tick();
        }
    }
}

template <class Store, rank_port Port>
void candidate_side<Store, Port>::end_leading(std::string_view reason)
{
    if (!leader_) {
        return;
    }
    core::log_event("group_leadership_ends")
        .field("group", group_)
        .field("term", leader_->own_term())
        .field("reason", reason);
    direct_.end_all("leadership_ends");
    leader_.reset();
}

template <class Store, rank_port Port>
core::task<void> candidate_side<Store, Port>::claim_leadership()
{
    const group_key group = context_.own_group();
    const term floor = std::max(highest_term_, newest_term(*engine_.state()));
    const core::result<core::fence> fence = co_await expertmaps::claim_fence(
        store_, group.object_name(), nonce_, core::fence{std::max(floor, context_.promised).value});
    if (group != context_.own_group()) {
        co_return;
    }
    if (!fence) {
        // Without a leader the layout does not change, and serving continues.
        core::log_event("group_claim_failed", core::log_event::level::warning)
            .field("group", group.group)
            .field("error", core::to_string(fence.error().code))
            .field("reason", fence.error().detail);
        co_await core::sleep_for(claim_retry_delay);
        co_return;
    }
    const std::optional<layout_shape> current_shape = engine_.shape();
    if (current_shape && !handing_over_) {
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
    leader_ = std::make_unique<group_leader>(own, context_.own_group(), shape, costs,
                                             context_.target_gap);
    leading_since_ = core::runtime_clock::now();
    core::counter_for("group_leaderships_total").add();
    for (const std::shared_ptr<session>& s : sessions_) {
        s->connection->send(wire::encode(leader_claim{context_.group, own, false}));
    }
}

template <class Store, rank_port Port>
core::task<void> candidate_side<Store, Port>::hand_over()
{
    handing_over_ = true;
    const core::time_point begun_at = core::runtime_clock::now();
    if (leader_) {
        leader_->finish(begun_at);
    }
    while (switch_under_way() && leader_->progress().phase() != switch_phase::settling &&
           core::runtime_clock::now() - begun_at < handover_limit) {
        co_await core::sleep_for(leader_tick_interval);
    }
    if (leader_) {
        core::counter_for("group_handovers_total").add();
        core::log_event("group_handover")
            .field("group", group_)
            .field("term", leader_->own_term())
            .field("phase", to_string(leader_->progress().phase()))
            .field("waited_ms", core::to_milliseconds(core::runtime_clock::now() - begun_at));
    }
    end_leading("stopping");
    for (const std::shared_ptr<session>& s : sessions_) {
        s->connection->send(wire::encode(leader_claim{context_.group, term{}, true}));
    }
    co_await core::sleep_for(handover_send_time);
}

template <class Store, rank_port Port>
void candidate_side<Store, Port>::tick()
{
    const core::time_point now = core::runtime_clock::now();
    if (context_.standstill.recently_resumed()) {
        // A later term may have been claimed in the meantime.
        return;
    }
    if (engine_.state() && context_.promised == leader_->own_term()) {
        leader_->on_status(engine_.status_for_leader(true), now);
    }
    const std::optional<std::pair<group_epoch, core::map_version>> unknown =
        leader_->unknown_layout();
    // Members have had the orders for the layouts of earlier terms. The layout that a group starts
    // with was not ordered.
    if (unknown && unknown->second.value > 0) {
        const std::shared_ptr<const layout> known =
            context_.layouts.find(unknown->second, leader_->shape());
        if (known != nullptr) {
            leader_->set_known_layout(*unknown, *known);
        }
    }
    reach_silent_ranks(now);
    send(leader_->tick(now));
}

template <class Store, rank_port Port>
void candidate_side<Store, Port>::send(std::vector<addressed_order> orders)
{
    // Every rank gets the same layout, so it is encoded once for each base.
    std::map<std::optional<core::map_version>, std::string> encoded;
    std::uint64_t hash = 0;
    for (addressed_order& o : orders) {
        if (engine_.state() && o.rank == engine_.state()->rank) {
            core::spawn_contained(context_.executor, "engine_order",
                                  execute_locally(o, {context_.group, o.id}));
            continue;
        }
        if (o.order.kind == order_kind::load) {
            context_.layouts.add(o.order.version, o.order.experts);
        }
        if (direct_.take(o)) {
            continue;
        }
        for (const std::shared_ptr<session>& s : sessions_) {
            if (s->rank != o.rank) {
                continue;
            }
            rank_order message{o.id, context_.group, {}, {}, {}, 0};
            if (o.order.kind == order_kind::load) {
                message.base = base_for(*s);
                const std::shared_ptr<const layout> base =
                    message.base ? context_.layouts.find(*message.base, leader_->shape()) : nullptr;
                if (base == nullptr) {
                    message.base.reset();
                }
                std::string& bytes = encoded[message.base];
                if (bytes.empty()) {
                    bytes = base != nullptr ? to_difference(*base, *o.order.experts)
                                            : to_compact(*o.order.experts);
                    hash = layout_hash(*o.order.experts);
                }
                message.experts = bytes;
                message.layout_hash = hash;
                s->sent_layout = {message.id, o.order.version};
            }
            message.order = std::move(o.order);
            s->connection->send(wire::encode(message));
            break;
        }
    }
}

template <class Store, rank_port Port>
std::optional<core::map_version> candidate_side<Store, Port>::base_for(const session& s) const
{
    if (s.needs_complete_layout) {
        return std::nullopt;
    }
    // A member that has run the active layout usually still has the order for it.
    return s.known_layout ? s.known_layout : leader_->active_version();
}

template <class Store, rank_port Port>
void candidate_side<Store, Port>::on_layout_answer(session& s, const rank_answer& answer)
{
    if (s.sent_layout.first != answer.id) {
        return;
    }
    // Without a result, the member may not have decoded the layout.
    s.needs_complete_layout = !answer.result;
    s.known_layout =
        answer.result ? std::optional<core::map_version>(s.sent_layout.second) : std::nullopt;
}

template <class Store, rank_port Port>
core::task<void> candidate_side<Store, Port>::execute_locally(addressed_order order,
                                                              order_origin origin)
{
    const executed_order executed = co_await engine_.execute(std::move(order.order), origin);
    if (!leader_ || leader_->own_term() != origin.id.term || !context_.obeys(origin) ||
        !engine_.state()) {
        co_return;
    }
    rank_answer answer;
    answer.id = origin.id;
    answer.result = executed.result;
    answer.status = engine_.own_status();
    leader_->on_answer(order.rank, answer, core::runtime_clock::now());
    tick();
}

} // namespace currantpitch::rankcontrol

#include "rankcontrol/candidatedirect.h"
