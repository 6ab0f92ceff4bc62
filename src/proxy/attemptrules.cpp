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
    case next_step::repeat:
        return "repeat";
    case next_step::refuse:
        return "refuse";
    case next_step::fail:
        return "fail";
    case next_step::cut:
        break;
    }
    return "cut";
}

bool wants_repeat(attempt_result result, const attempt_situation& situation)
{
    switch (result) {
    case attempt_result::answered:
        return false;
    case attempt_result::failed:
        return routes::may_retry(situation.repeat) && !situation.answer_begun;
    case attempt_result::not_run:
        return routes::may_retry(situation.repeat) || !situation.may_have_run;
    case attempt_result::unknown:
        break;
    }
    return routes::may_retry(situation.repeat);
}

next_step decide(attempt_result result, const attempt_situation& situation)
{
    if (result == attempt_result::answered) {
        return next_step::deliver;
    }
    if (situation.repeat_allowed && !situation.out_of_time && wants_repeat(result, situation)) {
        return next_step::repeat;
    }
    if (situation.answer_begun) {
        return next_step::cut;
    }
    if (result == attempt_result::failed) {
        return next_step::deliver;
    }
    if (result == attempt_result::not_run && !situation.may_have_run) {
        return next_step::refuse;
    }
    return next_step::fail;
}

} // namespace currantpitch::proxy
