#include "entry/plaincall.h"

#include "core/eventlog.h"
#include "entry/entryconstants.h"

namespace currantpitch::entry {

using actions::action_outcome;
using actions::action_result;

std::optional<core::host_id> entry_agents::choose(const actions::action_request& request,
                                                  const std::set<core::host_id>& excluded)
{
    routing::route_request route_query;
    // Calls have no prompt prefix for cache affinity, so a random value spreads them over the
    // endpoints.
    route_query.prefix = context_.random();
    for (const core::host_id& host : excluded) {
        const std::optional<core::endpoint_id> endpoint = agents_.endpoint_at(host);
        if (endpoint) {
            route_query.excluded.insert(*endpoint);
        }
    }
    const std::optional<routing::choice> choice =
        context_.service(request.service).pool.choose(route_query, core::runtime_clock::now());
    if (!choice) {
        return std::nullopt;
    }
    sessions::agent_link* const link = agents_.link_of(choice->endpoint);
    if (link == nullptr) {
        return std::nullopt;
    }
    core::log_event("route")
        .field("workspace", request.workspace)
        .field("service", request.service)
        .field("endpoint", choice->endpoint)
        .field("reason", routing::to_string(choice->reason))
        .field("load", choice->load)
        .field("method", request.method)
        .field("keyed", !request.key.empty());
    return link->agent_host();
}

core::result<sessions::attempt_identity> entry_agents::reserve(const core::host_id& agent)
{
    sessions::agent_link* const link = agents_.link_at(agent);
    if (link == nullptr) {
        return core::error{core::errc::unavailable, "no session with the agent"};
    }
    return link->reserve();
}

core::result<std::shared_ptr<sessions::attempt_channel>>
entry_agents::start_reserved(const core::host_id& agent, const sessions::attempt_identity& id,
                             sessions::start_work work)
{
    sessions::agent_link* const link = agents_.link_at(agent);
    if (link == nullptr) {
        return core::error{core::errc::stale, "the agent is gone"};
    }
    core::result<std::shared_ptr<sessions::attempt_channel>> channel =
        link->start_reserved(id, std::move(work));
    const std::optional<core::endpoint_id> endpoint = agents_.endpoint_at(agent);
    const auto spec = endpoint ? context_.catalog.endpoints().find(*endpoint)
                               : context_.catalog.endpoints().end();
    if (channel && spec != context_.catalog.endpoints().end()) {
        sent_calls_[{agent, id.number}] = {spec->second.spec.service, *endpoint};
        context_.service(spec->second.spec.service).pool.on_request_started(*endpoint);
    }
    return channel;
}

core::task<core::result<sessions::resolution>>
entry_agents::resolve_attempt(core::host_id agent, sessions::attempt_identity id,
                              core::time_point deadline)
{
    sessions::agent_link* const link = agents_.require_link(agent);
    if (link == nullptr) {
        co_return core::error{core::errc::unavailable, "the agent is gone"};
    }
    const std::shared_ptr<sessions::agent_link> keep_alive = link->shared_from_this();
    while (!link->connected() && core::runtime_clock::now() < deadline) {
        co_await core::sleep_for(connect_poll_interval);
    }
    co_return co_await link->resolve_attempt(id, deadline);
}

void entry_agents::settle(const core::host_id& agent, const sessions::attempt_identity& id)
{
    const auto sent = sent_calls_.find({agent, id.number});
    if (sent != sent_calls_.end()) {
        context_.service(sent->second.service).pool.on_request_finished(sent->second.endpoint);
        sent_calls_.erase(sent);
    }
    sessions::agent_link* const link = agents_.link_at(agent);
    if (link != nullptr) {
        link->settle(id.number);
    }
}

core::task<action_result> call_runner::run_without_key(actions::action_request request,
                                                       core::time_point deadline)
{
    const std::optional<core::host_id> agent = agents_.choose(request, {});
    const core::result<sessions::attempt_identity> id =
        agent ? agents_.reserve(*agent) : core::result<sessions::attempt_identity>(core::error{});
    if (!id) {
        co_return action_result{
            action_outcome::not_run, "no agent can run the call", 0, {}, {}, false, true};
    }
    sessions::start_work work;
    work.kind = sessions::work_kind::call;
    work.workspace = request.workspace;
    work.method = request.method;
    work.path = request.path;
    work.body = std::move(request.body);
    work.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - core::runtime_clock::now());
    core::result<std::shared_ptr<sessions::attempt_channel>> channel =
        agents_.start_reserved(*agent, id.value(), std::move(work));
    if (!channel) {
        agents_.settle(*agent, id.value());
        co_return action_result{
            action_outcome::not_run, channel.error().detail, 0, {}, {}, false, true};
    }
    const std::optional<sessions::work_end> end =
        co_await sessions::await_end(channel.value(), deadline);
    agents_.settle(*agent, id.value());
    if (!end) {
        co_return action_result{
            action_outcome::unknown, "no answer within the deadline", 0, {}, {}, false, false};
    }
    if (end->state == sessions::end_state::refused) {
        co_return action_result{action_outcome::not_run, end->detail, 0, {}, {}, false, true};
    }
    if (end->state != sessions::end_state::finished) {
        co_return action_result{action_outcome::unknown, end->detail, 0, {}, {}, false, false};
    }
    co_return action_result{
        action_outcome::whole, {}, end->status, end->content_type, end->body, false, false};
}

} // namespace currantpitch::entry
