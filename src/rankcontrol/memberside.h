#pragma once

#include "core/counters.h"
#include "rankcontrol/enginemonitor.h"
#include "rankcontrol/expertlisttracker.h"
#include "rankcontrol/groupmembers.h"
#include "rankcontrol/silencewatch.h"
#include "wire/framedconnection.h"
#include "wire/packer.h"
#include "wire/unpacker.h"

#include <map>
#include <memory>
#include <set>

namespace currantpitch::rankcontrol {

/// The member role of an agent in its group: stays connected to the candidates for the leadership,
/// reports the state of its engine to them and obeys the one whose term it has promised.
template <rank_port Port>
class member_side {
public:
    member_side(agent_context& context, engine_monitor<Port>& engine)
        : context_(context), engine_(engine),
          members_(context.settings.service, context.settings.peer_address.port())
    {
    }

    group_members& members() { return members_; }
    /// Takes part in the group that the engine has joined.
    void on_group_changed()
    {
        members_.set_own_group(context_.group);
        contacts_.clear();
        dial_candidates();
    }
    /// Connects to the candidates that have no connection yet.
    void dial_candidates();
    /// Whether this agent may claim the leadership: it is a candidate, no earlier candidate is
    /// alive, and each other one is silent or has said that it does not lead. Nobody is judged
    /// silent right after a standstill of this process.
    bool may_claim();
    /// Whether this agent is a candidate of its group.
    bool is_own_candidate() const { return is_candidate(context_.settings.peer_address); }

private:
    using connection_pointer = std::shared_ptr<wire::framed_connection>;

    bool is_candidate(const settings::address& a) const;
    core::task<void> follow(settings::address candidate);
    /// Talks to a candidate until the connection ends or the engine joins another group. Returns
    /// whether the candidate answered.
    core::task<bool> talk(connection_pointer connection, settings::address candidate);
    core::task<void> read(connection_pointer connection, settings::address candidate);
    core::task<void> report(connection_pointer connection, settings::address candidate);
    core::task<void> execute_order(connection_pointer connection, rank_order order);
    /// Decodes the layout of a load order. Returns false when its base is unknown; the leader then
    /// sends the complete layout.
    bool decode_layout(rank_order& order);
    void on_claim(const leader_claim& claim, const settings::address& candidate);

    agent_context& context_;
    engine_monitor<Port>& engine_;
    group_members members_;
    /// The last frame and the last claim of a candidate.
    struct contact {
        core::time_point at;
        term claimed;
        bool leaving = false;
    };
    std::map<settings::address, contact> contacts_;
    std::set<settings::address> dialled_;
};

template <rank_port Port>
bool member_side<Port>::decode_layout(rank_order& order)
{
    std::optional<layout> experts;
    const std::optional<layout_shape> shape = engine_.shape();
    const std::shared_ptr<const layout> base =
        order.base && shape ? context_.layouts.find(*order.base, *shape) : nullptr;
    if (!order.base) {
        experts = layout_from_compact(order.experts);
    }
    else if (base != nullptr) {
        experts = apply_difference(*base, order.experts);
    }
    if (!experts || layout_hash(*experts) != order.layout_hash) {
        core::counter_for("layouts_undecodable_total").add();
        core::log_event("layout_undecodable", core::log_event::level::warning)
            .field("group", order.group)
            .field("version", order.order.version)
            .field("base", order.base.value_or(core::map_version{}))
            .field("base_known", base != nullptr);
        return false;
    }
    order.order.experts = std::make_shared<const layout>(std::move(*experts));
    context_.layouts.add(order.order.version, order.order.experts);
    return true;
}

template <rank_port Port>
bool member_side<Port>::is_candidate(const settings::address& a) const
{
    const std::vector<settings::address>& list = members_.candidates();
    return std::find(list.begin(), list.end(), a) != list.end();
}

template <rank_port Port>
void member_side<Port>::dial_candidates()
{
    for (const settings::address& candidate : members_.candidates()) {
        if (candidate != context_.settings.peer_address && dialled_.insert(candidate).second) {
            core::spawn(context_.executor, follow(candidate));
        }
    }
}

template <rank_port Port>
bool member_side<Port>::may_claim()
{
    if (!is_own_candidate() || context_.standstill.recently_resumed()) {
        return false;
    }
    const core::time_point now = core::runtime_clock::now();
    bool earlier = true;
    for (const settings::address& candidate : members_.candidates()) {
        if (candidate == context_.settings.peer_address) {
            earlier = false;
            continue;
        }
        const auto found = contacts_.find(candidate);
        const bool heard = found != contacts_.end();
        if (heard && found->second.leaving) {
            continue;
        }
        const core::time_point heard_at = heard ? found->second.at : context_.joined_at;
        // A leader whose term is not the highest any more does not count.
        const bool may_lead = !heard || (found->second.claimed.value > 0 &&
                                         found->second.claimed >= context_.promised);
        if (now - heard_at <= candidate_heartbeat_timeout && (earlier || may_lead)) {
            return false;
        }
    }
    return true;
}

template <rank_port Port>
core::task<void> member_side<Port>::follow(settings::address candidate)
{
    while (is_candidate(candidate)) {
        core::result<core::asio::ip::tcp::socket> socket = co_await wire::connect(
            candidate, core::runtime_clock::now() + candidate_heartbeat_timeout);
        bool answered = !socket;
        if (socket) {
            answered = co_await talk(
                std::make_shared<wire::framed_connection>(std::move(socket.value())), candidate);
        }
        // A candidate that accepts connections but does not answer belongs to another group.
        co_await core::sleep_for(answered ? connect_retry_delay : refused_retry_delay);
    }
    dialled_.erase(candidate);
}

template <rank_port Port>
core::task<bool> member_side<Port>::talk(connection_pointer connection, settings::address candidate)
{
    using namespace core::asio::experimental::awaitable_operators;
    const core::time_point connected_at = core::runtime_clock::now();
    connection->send(
        wire::encode(member_hello{context_.settings.host, context_.own_group(),
                                  context_.settings.peer_address.address().to_string()}));
    co_await (read(connection, candidate) || connection->write_loop() ||
              until_silent(connection, context_.standstill) || report(connection, candidate) ||
              context_.group_changed.wait());
    connection->close();
    if (context_.leader == candidate) {
        core::log_event("group_leader_lost")
            .field("group", context_.group)
            .field("term", context_.promised);
    }
    const auto found = contacts_.find(candidate);
    co_return found != contacts_.end() && found->second.at >= connected_at;
}

template <rank_port Port>
void member_side<Port>::on_claim(const leader_claim& claim, const settings::address& candidate)
{
    const term t = claim.term;
    if (claim.group != context_.group) {
        return;
    }
    contacts_[candidate].claimed = t;
    contacts_[candidate].leaving = claim.leaving;
    if (t.value > 0 && context_.fence_known && t >= context_.promised) {
        context_.promise(t, candidate.address().to_string());
        context_.leader = candidate;
    }
}

template <rank_port Port>
core::task<void> member_side<Port>::read(connection_pointer connection, settings::address candidate)
{
    while (!connection->closed()) {
        const core::result<std::string> frame = co_await connection->receive();
        if (!frame) {
            co_return;
        }
        const core::result<leader_claim> claimed = wire::decode<leader_claim>(frame.value());
        if (!claimed || claimed.value().group == context_.group) {
            contacts_[candidate].at = core::runtime_clock::now();
        }
        if (claimed) {
            on_claim(claimed.value(), candidate);
            continue;
        }
        core::result<rank_order> order = wire::decode<rank_order>(frame.value());
        if (order) {
            // Reading continues meanwhile; otherwise the candidate would seem to be gone.
            core::spawn_contained(context_.executor, "engine_order",
                                  execute_order(connection, std::move(order.value())));
        }
    }
}

template <rank_port Port>
core::task<void> member_side<Port>::execute_order(connection_pointer connection, rank_order order)
{
    rank_answer answer;
    answer.id = order.id;
    const bool own_group = order.group == context_.group;
    if (!own_group) {
        core::counter_for("orders_for_another_group_total").add();
        core::log_event("order_refused", core::log_event::level::error)
            .field("order", to_string(order.order.kind))
            .field("group", order.group)
            .field("own_group", context_.group)
            .field("term", order.id.term);
    }
    const order_origin origin{order.group, order.id};
    if (context_.obeys(origin)) {
        const bool decoded = order.order.kind != order_kind::load || decode_layout(order);
        if (decoded) {
            const executed_order done = co_await engine_.execute(std::move(order.order), origin);
            answer.result = done.result;
        }
    }
    if (engine_.state()) {
        answer.status = engine_.own_status();
        connection->send(wire::encode(answer));
    }
}

template <rank_port Port>
core::task<void> member_side<Port>::report(connection_pointer connection,
                                           settings::address candidate)
{
    expert_list_tracker list_tracker;
    core::time_point reported_at;
    rank_state last_reported;
    while (!connection->closed()) {
        const core::time_point now = core::runtime_clock::now();
        const bool is_leader = context_.leader == candidate;
        const core::duration interval = is_leader ? status_interval : candidate_status_interval;
        const bool changed =
            engine_.state() && is_leader && differs(*engine_.state(), last_reported);
        // Polls do not fall exactly on the interval, so a status may be sent slightly early.
        if (engine_.state() &&
            (changed || now - reported_at >= interval - loading_status_interval)) {
            reported_at = now;
            last_reported = *engine_.state();
            const bool include_list =
                is_leader && list_tracker.due(context_.promised, engine_.held_layout_id());
            connection->send(wire::encode(is_leader ? engine_.status_for_leader(include_list)
                                                    : engine_.own_status()));
            if (include_list) {
                list_tracker.on_sent(context_.promised, engine_.held_layout_id());
            }
        }
        co_await engine_.state_updated().wait_until(core::runtime_clock::now() + claim_interval);
    }
}

} // namespace currantpitch::rankcontrol
