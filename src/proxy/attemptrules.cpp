#include "proxy/attemptrules.h"

namespace currantpitch::proxy {

std::string_view to_string(attempt_result r)
{
    switch (r) {
    case attempt_result::answered:
        return "answered";
    case attempt_result::failed:
        return "failed";
    case attempt_result::not_run:
        return "not_run";
    case attempt_result::unknown:
        break;
    }
    return "unknown";
}

std::string_view to_string(next_step s)
{
    switch (s) {
    case next_step::deliver:
        return "deliver";
    case next_step::retry:
        return "repeat";
    case next_step::refuse:
        return "refuse";
    case next_step::fail:
        return "fail";
    case next_step::abort:
        break;
    }
    return "cut";
}

bool is_retryable(attempt_result result, const retry_context& context)
{
    switch (result) {
    case attempt_result::answered:
        return false;
    case attempt_result::failed:
        return routes::may_retry(context.retry_policy) && !context.answer_begun;
    case attempt_result::not_run:
        return routes::may_retry(context.retry_policy) || !context.may_have_run;
    case attempt_result::unknown:
        break;
    }
    return routes::may_retry(context.retry_policy);
}

next_step decide(attempt_result result, const retry_context& context)
{
    if (result == attempt_result::answered) {
        return next_step::deliver;
    }
    if (context.retry_allowed && !context.out_of_time && is_retryable(result, context)) {
        return next_step::retry;
    }
    if (context.answer_begun) {
        return next_step::abort;
    }
    if (result == attempt_result::failed) {
        return next_step::deliver;
    }
    if (result == attempt_result::not_run && !context.may_have_run) {
        return next_step::refuse;
    }
    return next_step::fail;
}

} // namespace currantpitch::proxy
