#pragma once

#include "routes/routetable.h"

#include <string_view>

namespace currantpitch::proxy {

/// How one attempt at an endpoint ended.
enum class attempt_result {
    answered, ///< the endpoint's own answer is there, whole
    failed,   ///< the same, and it says that the endpoint failed
    not_run,  ///< never sent, or the endpoint says that it did not run it
    unknown,  ///< sent, and no proper answer: it may have run
};
std::string_view to_string(attempt_result r);

/// What matters for what is done next.
struct attempt_situation {
    routes::repeatability repeat = routes::repeatability::at_most_once;
    /// Part of the answer has gone to the caller.
    bool answer_begun = false;
    /// An earlier attempt may have run.
    bool may_have_run = false;
    /// Another attempt is within the route's limit, the time and the retry allowance.
    bool repeat_allowed = false;
    bool out_of_time = false;
};

enum class next_step {
    deliver, ///< pass the endpoint's answer on
    repeat,  ///< try another endpoint
    refuse,  ///< tell the caller that nothing ran
    fail,    ///< tell the caller that nobody knows
    cut,     ///< end the connection: the answer cannot be completed
};
std::string_view to_string(next_step s);

/// Decides what follows an attempt. A request that may run only once is repeated and refused only
/// while it is certain that it has not run.
next_step decide(attempt_result result, const attempt_situation& situation);

/// Whether another attempt would be of use, given the retry allowance.
bool wants_repeat(attempt_result result, const attempt_situation& situation);

} // namespace currantpitch::proxy
