#include "gateway/capacityexchange.h"

#include "core/counters.h"
#include "core/eventlog.h"
#include "gateway/gatewayconstants.h"

#include <iterator>

namespace currantpitch::gateway {

std::vector<capacity::endpoint_samples> take_capacity_samples(proxy::proxy_context& context,
                                                              core::time_point now)
{
    std::vector<capacity::endpoint_samples> samples;
    for (const std::pair<const core::service_id, std::unique_ptr<proxy::service_state>>& entry :
         context.services) {
        std::vector<capacity::endpoint_samples> of_service =
            entry.second->queue.slot_scheduler().take_samples(now);
        std::move(of_service.begin(), of_service.end(), std::back_inserter(samples));
    }
    return samples;
}

void capacity_gauges::update(proxy::proxy_context& context, core::time_point now)
{
    if (!context.bounds.learn_capacity) {
        return;
    }
    for (const std::pair<const core::service_id, std::unique_ptr<proxy::service_state>>& entry :
         context.services) {
        dispatch::scheduler& scheduler = entry.second->queue.slot_scheduler();
        for (const capacity::capacity_change& change : scheduler.take_capacity_changes(now)) {
            core::log_event("endpoint_capacity")
                .field("endpoint", change.endpoint)
                .field("service", entry.first)
                .field("from", change.from)
                .field("to", change.to)
                .field("declared", change.declared)
                .field("slowdown", change.slowdown)
                .field("saturation", change.saturation)
                .field("latency_ms", change.latency.count())
                .field("reference_ms", change.reference.count())
                .field("samples", change.samples)
                .field("own_samples", change.own_samples);
        }
        for (const std::pair<const core::endpoint_id, unsigned>& slots : scheduler.slots()) {
            if (exported_.size() < max_capacity_gauges) {
                exported_.insert(slots.first);
            }
            if (exported_.contains(slots.first)) {
                core::gauge_for("endpoint_concurrency", "endpoint=\"" + slots.first.str() + "\"")
                    .set(slots.second);
            }
        }
    }
}

} // namespace currantpitch::gateway
