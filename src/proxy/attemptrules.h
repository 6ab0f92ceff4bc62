#pragma once

#include "routes/routetable.h"

#include <string_view>

namespace currantpitch::proxy {

/// Result of one attempt at an endpoint.
enum class attempt_result {
    answered, ///< the endpoint answered completely
    failed,   ///< the endpoint answered completely, with a failure
    not_run,  ///< not sent, or the endpoint reports that it did not run the request
    unknown,  ///< sent without a valid answer; the request may have run
};
std::string_view to_string(attempt_result r);

/// State of a request that determines the step after an attempt.
struct retry_context {
    routes::retry_policy retry_policy = routes::retry_policy::at_most_once;
    /// Part of the answer has been sent to the caller.
    bool answer_begun = false;
    /// An earlier attempt may have run.
    bool may_have_run = false;
    /// Another attempt is within the route's limit, the deadline and the retry allowance.
    bool retry_allowed = false;
    bool out_of_time = false;
};

enum class next_step {
    deliver, ///< forward the endpoint's answer
    retry,   ///< try another endpoint
    refuse,  ///< report to the caller that the request did not run
    fail,    ///< report to the caller that the request may have run
    abort,   ///< close the connection, as the answer cannot be completed
};
std::string_view to_string(next_step s);

/// Decides the step after an attempt. A request that may run only once is retried or refused only
/// while it is certain that it has not run.
next_step decide(attempt_result result, const retry_context& context);

/// Whether the result and the request's retry policy permit another attempt. Limits on attempts,
/// time and retries are not taken into account.
bool is_retryable(attempt_result result, const retry_context& context);

} // namespace currantpitch::proxy
