#pragma once

#include "endpoints/httpengine.h"
#include "expertmaps/groupmembers.h"
#include "intents/catalog.h"

namespace currantpitch::agent {

/// Sends orders to a model engine over HTTP. Each order carries the fence of the group's leader.
class engine_orders {
public:
    explicit engine_orders(endpoints::http_engine& engine) : engine_(engine) {}
    core::task<core::result<void>> order(expertmaps::rank_order o, core::time_point deadline);

private:
    endpoints::http_engine& engine_;
};

/// Encodes an order as the JSON body of a request to the engine.
std::string order_body(const expertmaps::rank_order& order);

/// Extracts from an endpoint's status the part that the group coordinator uses.
expertmaps::rank_status rank_status_of(const endpoints::endpoint_status& status);

/// Returns the configuration of the group of an endpoint, or nullopt when the endpoint is not a
/// rank of a model group.
std::optional<expertmaps::group_configuration> group_of(const intents::catalog& catalog,
                                                        const core::endpoint_id& endpoint);

} // namespace currantpitch::agent
