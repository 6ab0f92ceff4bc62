#include "proxy/requestsuspicion.h"

#include "core/counters.h"
#include "core/eventlog.h"
#include "core/text.h"
#include "proxy/proxyconstants.h"

namespace currantpitch::proxy {

std::string_view request_suspicion::refusal_reason() const
{
    if (requests_.refuses(routed_.fingerprint)) {
        return request_suspected_reason;
    }
    return parts_.refuses(routed_.request.shared_parts) ? part_suspected_reason
                                                        : std::string_view();
}

std::chrono::milliseconds request_suspicion::retry_after(std::string_view reason) const
{
    return reason == request_suspected_reason ? requests_.retry_after(routed_.fingerprint)
                                              : parts_.retry_after(routed_.request.shared_parts);
}

std::string_view request_suspicion::admit()
{
    const std::string_view reason = refusal_reason();
    if (reason.empty()) {
        requests_.admit(routed_.request.id, routed_.fingerprint);
        parts_.admit(routed_.request.id, routed_.request.shared_parts);
    }
    return reason;
}

void request_suspicion::on_not_run()
{
    requests_.on_not_run(routed_.fingerprint);
    parts_.on_not_run(routed_.request.shared_parts);
}

void request_suspicion::on_crash(const directory::endpoint_record& record, bool answer_begun,
                                 bool progressed, core::time_point at)
{
    requests_.on_crash(
        {routed_.fingerprint,
         routed_.workspace == nullptr ? core::workspace_id() : routed_.workspace->name,
         record.endpoint, record.failure_domain, record.incarnation, false, at});
    core::counter_for("endpoint_crashes_total").add();
    core::log_event("endpoint_crashed", core::log_event::level::warning)
        .field("service", routed_.service)
        .field("endpoint", record.endpoint)
        .field("endpoint_incarnation", record.incarnation)
        .field("request", routed_.request.id)
        .field("fingerprint", routed_.fingerprint)
        .field("crashes", requests_.crash_count(routed_.fingerprint))
        .field("answer_begun", answer_begun)
        .field("progress", progressed)
        .field("parts", core::join(routed_.request.shared_parts, ','));
    if (!progressed && !routed_.request.shared_parts.empty()) {
        core::counter_for("part_crashes_total").add();
        parts_.on_crash(
            {routed_.request.shared_parts, record.endpoint, record.incarnation, answer_begun, at});
    }
}

} // namespace currantpitch::proxy
