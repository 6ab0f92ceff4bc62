#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <map>
#include <optional>

namespace currantpitch::backpressure {

/// What an answer of an endpoint says about the requests that the endpoint accepts.
struct endpoint_signal {
    core::endpoint_id endpoint;
    core::incarnation incarnation;
    /// Requests per second that the endpoint accepts from all entries together.
    std::optional<double> request_limit;
    /// Time at which the request was sent that the endpoint answered.
    core::time_point asked_at;
};

/// What the endpoints have said themselves about the requests that they accept, apart from what the
/// store says of them.
class endpoint_signals {
public:
    /// Records what an answer says, received by this entry or by a peer. An answer without a limit
    /// ends an earlier one only if its request was sent after the limit was last named, as answers
    /// may overtake each other. Returns whether the endpoint's limit has changed.
    bool on_answer(const endpoint_signal& signal, core::time_point now);
    /// Forgets what an earlier incarnation of a registered endpoint has said.
    void on_registered(const core::endpoint_id& endpoint, core::incarnation incarnation);

    /// Requests per second that the endpoint accepts from all entries together, within the bounds
    /// min_request_limit and max_request_limit, or nullopt if it has named no limit.
    std::optional<double> request_limit(const core::endpoint_id& endpoint) const;

private:
    struct endpoint_state {
        core::incarnation incarnation;
        double request_limit = 0;
        core::time_point named_at;
    };

    std::map<core::endpoint_id, endpoint_state> limited_;
};

} // namespace currantpitch::backpressure
