#pragma once

#include "admission/crashtracker.h"
#include "core/runtimeclock.h"
#include "proxy/proxymessages.h"
#include "routes/routetable.h"

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

    /// Priority of the caller's workspace or, if it has none, of the route.
    int priority() const
    {
        return workspace != nullptr && workspace->priority ? *workspace->priority : route->priority;
    }
};

} // namespace currantpitch::proxy
