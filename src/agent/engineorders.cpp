#include "agent/engineorders.h"

#include "core/eventlog.h"
#include "wire/framedconnection.h"

#include <array>
#include <boost/json.hpp>

namespace currantpitch::agent {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 6> order_names = {"query",  "stage", "prepare",
                                                         "commit", "abort", "adopt"};

json::array encode(const expertmaps::expert_map& map)
{
    json::array ranks;
    for (const std::vector<expertmaps::replica>& slots : map.ranks) {
        json::array replicas;
        for (const expertmaps::replica& r : slots) {
            replicas.push_back(json::array{r.expert, r.weight});
        }
        ranks.push_back(std::move(replicas));
    }
    return ranks;
}

} // namespace

std::string order_body(const expertmaps::rank_order& order)
{
    json::object body{{"order", order_names[static_cast<std::size_t>(order.kind)]},
                      {"fence", order.proposal.fence.value},
                      {"version", order.version.value},
                      {"step", order.step.value}};
    if (order.map) {
        body["map"] = encode(*order.map);
    }
    if (order.committed) {
        body["next_version"] = order.committed->version.value;
        body["next_step"] = order.committed->step.value;
    }
    return json::serialize(body);
}

core::task<core::result<void>> engine_orders::order(expertmaps::rank_order o,
                                                    core::time_point deadline)
{
    const core::result<std::string> reply = co_await engine_.order(order_body(o), deadline);
    core::log_event("engine_order")
        .field("order", order_names[static_cast<std::size_t>(o.kind)])
        .field("fence", o.proposal.fence)
        .field("version", o.version)
        .field("step", o.step)
        .field("outcome", reply ? std::string("done") : reply.error().detail);
    if (!reply) {
        co_return reply.error();
    }
    co_return core::ok();
}

expertmaps::rank_status rank_status_of(const endpoints::endpoint_status& status)
{
    expertmaps::rank_status s;
    s.incarnation = status.incarnation;
    s.step = status.step;
    s.active = status.map;
    s.fresh = status.fresh;
    if (status.prepared_map != core::map_version{}) {
        s.prepared = expertmaps::prepared_switch{{}, status.prepared_map, status.prepared_step};
        s.committed = status.prepared_committed;
    }
    s.expert_tokens = status.expert_tokens;
    s.step_time = status.rank_step_time;
    s.age = status.age;
    return s;
}

std::optional<expertmaps::group_configuration> group_of(const intents::catalog& catalog,
                                                        const core::endpoint_id& endpoint)
{
    const auto endpoint_entry = catalog.endpoints().find(endpoint);
    if (endpoint_entry == catalog.endpoints().end() ||
        endpoint_entry->second.spec.role != intents::endpoint_role::engine) {
        return std::nullopt;
    }
    const auto group = catalog.model_groups().find(endpoint_entry->second.spec.service);
    if (group == catalog.model_groups().end()) {
        return std::nullopt;
    }
    const intents::model_group_spec& spec = group->second.spec;
    expertmaps::group_configuration configuration;
    configuration.group = group->first;
    configuration.options.shape = {static_cast<std::uint32_t>(spec.ranks),
                                   static_cast<std::uint32_t>(spec.experts),
                                   static_cast<std::uint32_t>(spec.slots_per_rank)};
    configuration.options.skew_weight = spec.skew_weight;
    configuration.options.move_weight = spec.move_weight;
    configuration.options.replica_bytes = static_cast<double>(spec.expert_bytes * spec.layers);
    configuration.options.budget_bytes_per_hour =
        static_cast<double>(spec.move_budget_bytes_per_hour * spec.ranks);
    for (const core::endpoint_id& id : catalog.endpoints_of(group->first)) {
        const intents::endpoint_spec& member = catalog.endpoints().at(id).spec;
        const auto host = catalog.hosts().find(member.host);
        const core::result<core::asio::ip::tcp::endpoint> address =
            host == catalog.hosts().end()
                ? core::result<core::asio::ip::tcp::endpoint>(core::error{})
                : wire::parse_address(host->second.spec.peer_address);
        if (address) {
            configuration.members.push_back(
                {static_cast<std::uint32_t>(member.rank), member.host, address.value()});
        }
    }
    return configuration;
}

} // namespace currantpitch::agent
