#include "backpressure/backpressureconstants.h"
#include "backpressure/endpointsignals.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

TEST_GROUP(endpoint_signals)
{
    backpressure::endpoint_signals signals;
    core::endpoint_id a{"a"};
    core::time_point now{1h};

    bool answer(std::optional<double> limit, core::duration asked_before = 0ms,
                std::uint64_t incarnation = 1)
    {
        return signals
            .on_answer({a, core::incarnation{incarnation}, limit, false, {}, now - asked_before},
                       now)
            .request_limit;
    }
};

TEST(endpoint_signals, limit_lasts_until_a_later_answer_names_none)
{
    CHECK(!signals.request_limit(a));
    CHECK(answer(2.5));
    CHECK(!answer(2.5));
    CHECK(signals.request_limit(a) == 2.5);
    now += 100ms;
    // The request was sent before the limit was named.
    CHECK(!answer(std::nullopt, 150ms));
    CHECK(signals.request_limit(a) == 2.5);
    CHECK(answer(std::nullopt, 50ms));
    CHECK(!signals.request_limit(a));
}

TEST(endpoint_signals, limit_is_bounded)
{
    CHECK(answer(-1));
    CHECK(signals.request_limit(a) == backpressure::min_request_limit);
    CHECK(answer(1e300));
    CHECK(signals.request_limit(a) == backpressure::max_request_limit);
}

TEST(endpoint_signals, limit_ends_with_the_incarnation)
{
    CHECK(answer(2, 0ms, 2));
    CHECK(!answer(std::nullopt, -1ms, 1));
    signals.on_registered(a, core::incarnation{2});
    CHECK(signals.request_limit(a) == 2.0);
    signals.on_registered(a, core::incarnation{3});
    CHECK(!signals.request_limit(a));
}

TEST_GROUP(endpoint_words)
{
    backpressure::endpoint_signals signals;
    core::endpoint_id a{"a"};
    core::time_point now{1h};

    backpressure::signal_change say(bool leaving, std::optional<std::chrono::milliseconds> quiet,
                                    std::uint64_t incarnation = 1)
    {
        return signals.on_answer(
            {a, core::incarnation{incarnation}, std::nullopt, leaving, quiet, now}, now);
    }
};

TEST(endpoint_words, endpoint_that_leaves_gets_requests_again_as_the_same_incarnation)
{
    CHECK(say(true, {}).leaving);
    CHECK(!say(true, {}).any());
    say(false, {});
    signals.on_registered(a, core::incarnation{1});
    now += 1h;
    CHECK(signals.admission_of(a, now) == backpressure::admission::leaving);
    CHECK(signals.earliest_admission(a, now) == core::time_point::max());
    signals.on_registered(a, core::incarnation{2});
    CHECK(signals.admits(a, now));
}

TEST(endpoint_words, quiet_time_is_shortened_by_a_later_answer)
{
    CHECK(say(false, 800ms).quiet_time);
    CHECK(!say(false, 300ms).any());
    CHECK(!signals.admits(a, now + 799ms));
    CHECK(signals.earliest_admission(a, now) == now + 800ms);
    CHECK(signals.admits(a, now + 800ms));
    CHECK(say(false, 0ms).quiet_time);
    CHECK(signals.admits(a, now));
}

TEST(endpoint_words, quiet_time_is_bounded_and_concerns_this_entry_alone)
{
    say(false, 1000000000ms);
    CHECK(signals.admits(a, now + backpressure::max_quiet_time));
    CHECK(signals.snapshot(now).signals.empty());
    say(true, {});
    LONGS_EQUAL(1, signals.snapshot(now).signals.size());
}
