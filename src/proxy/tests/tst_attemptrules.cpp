#include "proxy/attemptrules.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using proxy::attempt_result;
using proxy::next_step;
using routes::repeatability;

namespace {

proxy::attempt_situation situation(repeatability r, bool repeat_allowed = true)
{
    proxy::attempt_situation s;
    s.repeat = r;
    s.repeat_allowed = repeat_allowed;
    return s;
}

constexpr std::array<repeatability, 4> all{repeatability::idempotent, repeatability::at_most_once,
                                           repeatability::resumable_stream,
                                           repeatability::one_shot_stream};

} // namespace

TEST_GROUP(attempt_rules){};

TEST(attempt_rules, what_never_ran_goes_elsewhere_whatever_it_is)
{
    for (const repeatability r : all) {
        CHECK(proxy::decide(attempt_result::not_run, situation(r)) == next_step::repeat);
        CHECK(proxy::decide(attempt_result::not_run, situation(r, false)) == next_step::refuse);
    }
}

TEST(attempt_rules, what_may_have_run_is_repeated_only_where_that_is_allowed)
{
    CHECK(proxy::decide(attempt_result::unknown, situation(repeatability::idempotent)) ==
          next_step::repeat);
    CHECK(proxy::decide(attempt_result::unknown, situation(repeatability::resumable_stream)) ==
          next_step::repeat);
    CHECK(proxy::decide(attempt_result::unknown, situation(repeatability::at_most_once)) ==
          next_step::fail);
    CHECK(proxy::decide(attempt_result::unknown, situation(repeatability::one_shot_stream)) ==
          next_step::fail);
}

TEST(attempt_rules, nothing_that_may_have_run_is_called_not_run)
{
    for (const repeatability r : all) {
        for (const bool repeat_allowed : {false, true}) {
            proxy::attempt_situation s = situation(r, repeat_allowed);
            s.may_have_run = true;
            CHECK(proxy::decide(attempt_result::not_run, s) != next_step::refuse);
            CHECK(proxy::decide(attempt_result::unknown, s) != next_step::refuse);
        }
    }
}

TEST(attempt_rules, at_most_once_is_not_repeated_after_an_attempt_that_may_have_run)
{
    proxy::attempt_situation s = situation(repeatability::at_most_once);
    s.may_have_run = true;
    CHECK(proxy::decide(attempt_result::not_run, s) == next_step::fail);
}

TEST(attempt_rules, endpoints_failure_is_passed_on_or_repeated)
{
    CHECK(proxy::decide(attempt_result::failed, situation(repeatability::idempotent)) ==
          next_step::repeat);
    CHECK(proxy::decide(attempt_result::failed, situation(repeatability::idempotent, false)) ==
          next_step::deliver);
    CHECK(proxy::decide(attempt_result::failed, situation(repeatability::at_most_once)) ==
          next_step::deliver);
}

TEST(attempt_rules, begun_answer_is_cut_when_it_cannot_go_on)
{
    proxy::attempt_situation s = situation(repeatability::resumable_stream, false);
    s.answer_begun = true;
    CHECK(proxy::decide(attempt_result::unknown, s) == next_step::cut);
    CHECK(proxy::decide(attempt_result::not_run, s) == next_step::cut);
    s.repeat_allowed = true;
    CHECK(proxy::decide(attempt_result::unknown, s) == next_step::repeat);
    s.out_of_time = true;
    CHECK(proxy::decide(attempt_result::unknown, s) == next_step::cut);
}

TEST(attempt_rules, answers_are_delivered)
{
    for (const repeatability r : all) {
        CHECK(proxy::decide(attempt_result::answered, situation(r)) == next_step::deliver);
    }
}
