#pragma once

#include "rankcontrol/enginewatch.h"
#include "rankcontrol/groupmembers.h"
#include "rankcontrol/listteller.h"
#include "wire/framedconnection.h"
#include "wire/packer.h"
#include "wire/unpacker.h"

#include <map>
#include <memory>
#include <set>

namespace currantpitch::rankcontrol {

/// An agent as a member of its group: follows the candidates for the leadership, tells them of its
/// engine and obeys the one whose term it has promised.
template <rank_port Port>
class member_side {
public:
    member_side(agent_context& context, engine_watch<Port>& engine)
        : context_(context), engine_(engine),
          members_(context.settings.service, context.settings.peer_address.port())
    {
    }

    group_members& members() { return members_; }
    /// Connects to the candidates that are new.
    void dial_candidates();
    /// Some candidate that comes before this agent lives, or this agent is none.
    bool earlier_candidate_lives() const;

private:
    using connection_pointer = std::shared_ptr<wire::framed_connection>;

    bool is_candidate(const settings::address& a) const;
    core::task<void> follow(settings::address candidate);
    core::task<void> read(connection_pointer connection, settings::address candidate);
    core::task<void> report(connection_pointer connection, settings::address candidate);
    core::task<void> obey(connection_pointer connection, rank_order order);
    void on_claim(const leader_claim& claim, const settings::address& candidate);

    agent_context& context_;
    engine_watch<Port>& engine_;
    group_members members_;
    std::map<settings::address, core::time_point> heard_;
    std::set<settings::address> dialled_;
};

template <rank_port Port>
bool member_side<Port>::is_candidate(const settings::address& a) const
{
    const std::vector<settings::address> list = members_.candidates();
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
bool member_side<Port>::earlier_candidate_lives() const
{
    const core::time_point now = core::runtime_clock::now();
    for (const settings::address& candidate : members_.candidates()) {
        if (candidate == context_.settings.peer_address) {
            return false;
        }
        const auto heard = heard_.find(candidate);
        const core::time_point last = heard == heard_.end() ? context_.started : heard->second;
        if (now - last <= candidate_silence) {
            return true;
        }
    }
    // Not a candidate at all.
    return true;
}

template <rank_port Port>
core::task<void> member_side<Port>::follow(settings::address candidate)
{
    using namespace core::asio::experimental::awaitable_operators;
    while (is_candidate(candidate)) {
        core::result<core::asio::ip::tcp::socket> socket =
            co_await wire::connect(candidate, core::runtime_clock::now() + candidate_silence);
        if (socket) {
            const connection_pointer connection =
                std::make_shared<wire::framed_connection>(std::move(socket.value()));
            connection->send(
                wire::encode(member_hello{context_.settings.host, context_.settings.service}));
            co_await (read(connection, candidate) || connection->write_loop() ||
                      report(connection, candidate));
            connection->close();
            if (context_.leader == candidate) {
                core::log_event("group_leader_lost").field("term", context_.promised);
            }
        }
        co_await core::sleep_for(dial_pause);
    }
    dialled_.erase(candidate);
}

template <rank_port Port>
void member_side<Port>::on_claim(const leader_claim& claim, const settings::address& candidate)
{
    const term t = claim.term;
    if (t.value > 0 && context_.fence_known && t >= context_.promised) {
        context_.promise(t, candidate.address().to_string());
        context_.leader = candidate;
    }
}

template <rank_port Port>
core::task<void> member_side<Port>::read(connection_pointer connection, settings::address candidate)
{
    while (!connection->closed()) {
        const core::result<std::string> frame = co_await core::with_deadline(
            connection->receive(), core::runtime_clock::now() + candidate_silence);
        if (!frame) {
            co_return;
        }
        heard_[candidate] = core::runtime_clock::now();
        const core::result<leader_claim> claimed = wire::decode<leader_claim>(frame.value());
        if (claimed) {
            on_claim(claimed.value(), candidate);
            continue;
        }
        core::result<rank_order> order = wire::decode<rank_order>(frame.value());
        if (order) {
            // The candidate is listened to meanwhile, or it would seem to be gone.
            core::spawn(context_.executor, obey(connection, std::move(order.value())));
        }
    }
}

template <rank_port Port>
core::task<void> member_side<Port>::obey(connection_pointer connection, rank_order order)
{
    rank_answer answer;
    answer.id = order.id;
    if (order.term == context_.promised && context_.fence_known) {
        if (order.order.kind == order_kind::load) {
            order.order.experts = layout_from_compact(order.experts).value_or(layout{});
        }
        const executed_order done = co_await engine_.execute(std::move(order.order));
        answer.result = done.result;
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
    list_teller lists;
    core::time_point told;
    rank_state last;
    while (!connection->closed()) {
        const core::time_point now = core::runtime_clock::now();
        const bool leads = context_.leader == candidate;
        const core::duration interval = leads ? status_interval : candidate_status_interval;
        const bool changed = engine_.state() && leads && differs(*engine_.state(), last);
        // Looks come a little off the interval.
        if (engine_.state() && (changed || now - told >= interval - loading_status_interval)) {
            told = now;
            last = *engine_.state();
            const bool tell_list = leads && lists.due(context_.promised, engine_.listed());
            connection->send(
                wire::encode(leads ? engine_.status_for_leader(tell_list) : engine_.own_status()));
            if (tell_list) {
                lists.on_told(context_.promised, engine_.listed());
            }
        }
        co_await engine_.fresh().wait_until(core::runtime_clock::now() + claim_interval);
    }
}

} // namespace currantpitch::rankcontrol
