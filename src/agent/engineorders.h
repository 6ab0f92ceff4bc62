#pragma once

#include "endpoints/httpengine.h"
#include "expertmaps/groupmembers.h"
#include "intents/catalog.h"

namespace currantpitch::agent {

/// Orders a model engine over HTTP, with the leader's fence in each order.
class engine_orders {
public:
    explicit engine_orders(endpoints::http_engine& engine) : engine_(engine) {}
    core::task<core::result<void>> order(expertmaps::rank_order o, core::time_point deadline);

private:
    endpoints::http_engine& engine_;
};

/// The order as the engine's interface takes it, in JSON.
std::string order_body(const expertmaps::rank_order& order);

/// What the coordinator needs of an endpoint's status.
expertmaps::rank_status rank_status_of(const endpoints::endpoint_status& status);

/// The group of an endpoint; nothing when the endpoint is no rank of a model group.
std::optional<expertmaps::group_configuration> group_of(const intents::catalog& known,
                                                        const core::endpoint_id& endpoint);

} // namespace currantpitch::agent
