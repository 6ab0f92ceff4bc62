#include "backpressure/endpointsignals.h"

#include "backpressure/backpressureconstants.h"

#include <algorithm>

namespace currantpitch::backpressure {

bool endpoint_signals::on_answer(const endpoint_signal& signal, core::time_point now)
{
    const auto found = limited_.find(signal.endpoint);
    const bool known = found != limited_.end();
    if (known && signal.incarnation.value < found->second.incarnation.value) {
        return false;
    }
    if (signal.request_limit) {
        const double limit =
            std::clamp(*signal.request_limit, min_request_limit, max_request_limit);
        const bool changed = !known || found->second.request_limit != limit ||
                             found->second.incarnation != signal.incarnation;
        limited_[signal.endpoint] = {signal.incarnation, limit, now};
        return changed;
    }
    if (!known || (signal.incarnation == found->second.incarnation &&
                   signal.asked_at <= found->second.named_at)) {
        return false;
    }
    limited_.erase(found);
    return true;
}

void endpoint_signals::on_registered(const core::endpoint_id& endpoint,
                                     core::incarnation incarnation)
{
    const auto found = limited_.find(endpoint);
    if (found != limited_.end() && found->second.incarnation.value < incarnation.value) {
        limited_.erase(found);
    }
}

std::optional<double> endpoint_signals::request_limit(const core::endpoint_id& endpoint) const
{
    const auto found = limited_.find(endpoint);
    return found == limited_.end() ? std::nullopt
                                   : std::optional<double>(found->second.request_limit);
}

} // namespace currantpitch::backpressure
