#pragma once

#include "admission/crashtracker.h"
#include "core/runtimeclock.h"
#include "proxy/proxymessages.h"
#include "routes/routetable.h"

#include <algorithm>
#include <memory>

namespace currantpitch::proxy {

/// A request with its route, workspace and service, as selected when it was read.
struct routed_request {
    caller_request request;
    admission::fingerprint fingerprint;
    /// Keeps the route valid when the configuration changes.
    std::shared_ptr<const routes::route_table> table;
    const routes::route* route = nullptr;
    const routes::workspace* workspace = nullptr;
    core::service_id service;
    core::time_point arrived;
    core::duration configuration_age{};

    /// Order in which requests of a service are served; 0 is the most urgent. The workspace's
    /// priority comes first. Among workspaces of equal priority the route's priority decides:
    /// otherwise it would have no effect where the operator gives all workspaces the same one.
    int priority() const
    {
        return std::min(workspace_priority(), max_workspace_priority) * route_priorities +
               std::min(route->priority, route_priorities - 1);
    }
    /// The same order on the short scale of engines, 0 to 8.
    int engine_priority() const
    {
        constexpr int levels = 3;
        return std::min(workspace_priority(), levels - 1) * levels +
               std::min(route->priority, levels - 1);
    }

private:
    static constexpr int route_priorities = 10;
    static constexpr int max_workspace_priority = 99;

    /// Priority of the caller's workspace or, if it has none, of the route.
    int workspace_priority() const
    {
        return workspace != nullptr && workspace->priority ? *workspace->priority : route->priority;
    }
};

} // namespace currantpitch::proxy
