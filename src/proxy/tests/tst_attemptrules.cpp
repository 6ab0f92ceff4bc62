#include "proxy/attemptrules.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using proxy::attempt_result;
using proxy::next_step;
using routes::retry_policy;

namespace {

proxy::retry_context context_for(retry_policy r, bool retry_allowed = true)
{
    proxy::retry_context s;
    s.retry_policy = r;
    s.retry_allowed = retry_allowed;
    return s;
}

constexpr std::array<retry_policy, 4> all{retry_policy::idempotent, retry_policy::at_most_once,
                                          retry_policy::resumable_stream,
                                          retry_policy::one_shot_stream};

} // namespace

TEST_GROUP(attempt_rules){};

TEST(attempt_rules, request_that_did_not_run_is_always_retried)
{
    for (const retry_policy r : all) {
        CHECK(proxy::decide(attempt_result::not_run, context_for(r)) == next_step::retry);
        CHECK(proxy::decide(attempt_result::not_run, context_for(r, false)) == next_step::refuse);
    }
}

TEST(attempt_rules, request_that_may_have_run_is_retried_only_if_repeatable)
{
    CHECK(proxy::decide(attempt_result::unknown, context_for(retry_policy::idempotent)) ==
          next_step::retry);
    CHECK(proxy::decide(attempt_result::unknown, context_for(retry_policy::resumable_stream)) ==
          next_step::retry);
    CHECK(proxy::decide(attempt_result::unknown, context_for(retry_policy::at_most_once)) ==
          next_step::fail);
    CHECK(proxy::decide(attempt_result::unknown, context_for(retry_policy::one_shot_stream)) ==
          next_step::fail);
}

TEST(attempt_rules, request_that_may_have_run_is_not_refused)
{
    for (const retry_policy r : all) {
        for (const bool retry_allowed : {false, true}) {
            proxy::retry_context s = context_for(r, retry_allowed);
            s.may_have_run = true;
            CHECK(proxy::decide(attempt_result::not_run, s) != next_step::refuse);
            CHECK(proxy::decide(attempt_result::unknown, s) != next_step::refuse);
        }
    }
}

TEST(attempt_rules, at_most_once_is_not_retried_after_an_attempt_that_may_have_run)
{
    proxy::retry_context s = context_for(retry_policy::at_most_once);
    s.may_have_run = true;
    CHECK(proxy::decide(attempt_result::not_run, s) == next_step::fail);
}

TEST(attempt_rules, endpoint_failure_is_delivered_or_retried)
{
    CHECK(proxy::decide(attempt_result::failed, context_for(retry_policy::idempotent)) ==
          next_step::retry);
    CHECK(proxy::decide(attempt_result::failed, context_for(retry_policy::idempotent, false)) ==
          next_step::deliver);
    CHECK(proxy::decide(attempt_result::failed, context_for(retry_policy::at_most_once)) ==
          next_step::deliver);
}

TEST(attempt_rules, begun_answer_is_aborted_if_it_cannot_continue)
{
    proxy::retry_context s = context_for(retry_policy::resumable_stream, false);
    s.answer_begun = true;
    CHECK(proxy::decide(attempt_result::unknown, s) == next_step::abort);
    CHECK(proxy::decide(attempt_result::not_run, s) == next_step::abort);
    s.retry_allowed = true;
    CHECK(proxy::decide(attempt_result::unknown, s) == next_step::retry);
    s.out_of_time = true;
    CHECK(proxy::decide(attempt_result::unknown, s) == next_step::abort);
}

TEST(attempt_rules, answers_are_delivered)
{
    for (const retry_policy r : all) {
        CHECK(proxy::decide(attempt_result::answered, context_for(r)) == next_step::deliver);
    }
}
