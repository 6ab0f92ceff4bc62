#pragma once

#include "directory/endpointdirectory.h"
#include "proxy/partguard.h"
#include "proxy/requestguard.h"
#include "proxy/routedrequest.h"

namespace currantpitch::proxy {

/// What is suspected of one request: as a whole, and of the parts of its prompt.
class request_suspicion {
public:
    request_suspicion(request_guard& requests, part_guard& parts, const routed_request& routed)
        : requests_(requests), parts_(parts), routed_(routed)
    {
    }

    /// Reason for which the request must not be sent now. Empty if it may be.
    std::string_view refusal_reason() const;
    /// Time after which a request that is refused for this reason may be tried again.
    std::chrono::milliseconds retry_after(std::string_view reason) const;
    /// As refusal_reason, directly before the request is sent. If it is sent and under suspicion,
    /// it runs as the only probe.
    std::string_view admit();
    void on_not_run();
    /// An endpoint sent an event or a whole answer.
    void on_progress() { parts_.on_progress(routed_.request.shared_parts); }
    /// An endpoint answered the request completely and without a failure.
    void on_answered() { requests_.on_answered(routed_.fingerprint); }
    /// An endpoint crashed while it ran the request.
    void on_crash(const directory::endpoint_record& record, bool answer_begun, bool progressed,
                  core::time_point at);

private:
    request_guard& requests_;
    part_guard& parts_;
    const routed_request& routed_;
};

} // namespace currantpitch::proxy
