#pragma once

#include "proxy/proxycontext.h"

#include <set>
#include <vector>

namespace currantpitch::gateway {

/// Returns the samples of the own requests that the next load report tells the peers. Empty if none
/// are due.
std::vector<capacity::endpoint_samples> take_capacity_samples(proxy::proxy_context& context,
                                                              core::time_point now);

/// Logs changes of the learned concurrency and exports it.
class capacity_gauges {
public:
    void update(proxy::proxy_context& context, core::time_point now);

private:
    /// Endpoints that have a gauge. Bounded, as a gauge exists until the process exits.
    std::set<core::endpoint_id> exported_;
};

} // namespace currantpitch::gateway
