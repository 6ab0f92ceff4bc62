#include "endpoints/endpointgate.h"

#include "endpoints/endpointsconstants.h"

namespace currantpitch::endpoints {

std::optional<std::string_view> endpoint_gate::refusal(const sessions::start_work& work) const
{
    if (leaving()) {
        return "leaving";
    }
    if (!healthy_) {
        return "unhealthy";
    }
    if (running_ >= concurrency_) {
        return "busy";
    }
    if (work.borrowed && running_ + 1 > concurrency_ * borrowing_utilization_limit) {
        return "no_slot_to_borrow";
    }
    if (work.isolated && isolated_ > 0) {
        return "isolated";
    }
    return std::nullopt;
}

void endpoint_gate::started(const sessions::start_work& work)
{
    ++running_;
    isolated_ += work.isolated ? 1 : 0;
}

void endpoint_gate::ended(const sessions::start_work& work)
{
    --running_;
    isolated_ -= work.isolated ? 1 : 0;
}

} // namespace currantpitch::endpoints
