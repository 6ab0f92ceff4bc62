#pragma once

#include "agent/engineorders.h"
#include "endpoints/httpservice.h"
#include "expertmaps/groupcoordinator.h"
#include "objectstore/httpstore.h"

namespace currantpitch::agent {

/// Participation of an agent in its model group. This primary template is for plain services, which
/// have no group.
template <class Backend>
class group_role {
public:
    group_role(const core::asio::any_io_executor&, objectstore::http_store&, Backend&,
               core::host_id, core::incarnation)
    {
    }
    void on_status(const endpoints::endpoint_status&) {}
    void configure(const intents::catalog&, const core::endpoint_id&) {}
    core::task<void> run() { co_return; }
    core::task<void> serve(std::shared_ptr<wire::framed_connection>, expertmaps::group_hello)
    {
        co_return;
    }
};

/// Participation of an agent whose endpoint is a model engine. The agent coordinates its rank, and
/// leads the group when it is the first candidate that is running.
template <>
class group_role<endpoints::http_engine> {
public:
    group_role(const core::asio::any_io_executor& executor, objectstore::http_store& store,
               endpoints::http_engine& engine, core::host_id host, core::incarnation incarnation)
        : orders_(engine), coordinator_(executor, store, orders_, std::move(host), incarnation)
    {
    }
    void on_status(const endpoints::endpoint_status& status)
    {
        coordinator_.on_status(rank_status_of(status));
    }
    void configure(const intents::catalog& catalog, const core::endpoint_id& endpoint)
    {
        std::optional<expertmaps::group_configuration> group = group_of(catalog, endpoint);
        if (group) {
            coordinator_.configure(std::move(*group));
        }
    }
    core::task<void> run() { return coordinator_.run(); }
    core::task<void> serve(std::shared_ptr<wire::framed_connection> connection,
                           expertmaps::group_hello hello)
    {
        return coordinator_.serve(std::move(connection), std::move(hello));
    }

private:
    engine_orders orders_;
    expertmaps::group_coordinator<objectstore::http_store, engine_orders> coordinator_;
};

} // namespace currantpitch::agent
