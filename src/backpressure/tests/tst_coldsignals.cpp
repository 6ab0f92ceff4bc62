#include "backpressure/backpressureconstants.h"
#include "backpressure/endpointsignals.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

const core::endpoint_id endpoint{"i-1"};
constexpr double rate = 17;

} // namespace

TEST_GROUP(cold_signals)
{
    backpressure::endpoint_signals signals;
    core::time_point now{1h};

    bool cold(std::chrono::milliseconds time, std::uint64_t incarnation = 1)
    {
        return signals.on_cold(endpoint, core::incarnation{incarnation}, rate, time, now);
    }
};

TEST(cold_signals, load_stays_away_after_the_cold_time)
{
    CHECK(cold(3000ms));
    CHECK(!signals.admits(endpoint, now));
    CHECK(!cold(1800ms));
    CHECK(!signals.admits(endpoint, now + 1799ms));
    CHECK(signals.admits(endpoint, now + 1800ms));
    CHECK(!cold(0ms));
    CHECK(signals.admits(endpoint, now));
    CHECK(cold(3000ms));
    CHECK(cold(500ms, 2));
    CHECK(!cold(3000ms, 1));
    CHECK(signals.cold_for(endpoint, now) == 500ms);
}

TEST(cold_signals, cold_endpoint_without_a_cold_time_is_unlimited)
{
    CHECK(!cold(0ms));
    CHECK(signals.admission_of(endpoint, now) == backpressure::admission::unlimited);
    CHECK(signals.snapshot(now).signals.empty());
}

TEST(cold_signals, lower_one_of_limit_and_cold_rate_applies)
{
    signals.on_answer({endpoint, core::incarnation{1}, 2.0, false, {}, now}, now);
    cold(3000ms);
    CHECK(signals.accepted_rate(endpoint, now) == 2.0);
    signals.on_answer({endpoint, core::incarnation{1}, 100.0, false, {}, now}, now);
    CHECK(signals.accepted_rate(endpoint, now) == rate);
    CHECK(signals.accepted_rate(endpoint, now + 3s) == 100.0);
    // An answer without a limit does not end the cold time.
    now += 10ms;
    signals.on_answer({endpoint, core::incarnation{1}, std::nullopt, false, {}, now}, now);
    CHECK(signals.accepted_rate(endpoint, now) == rate);
}

TEST(cold_signals, report_of_a_peer_shortens_the_cold_time)
{
    cold(3000ms);
    CHECK(!signals.on_cold_report(endpoint, core::incarnation{1}, rate, 500ms, now));
    CHECK(signals.cold_for(endpoint, now) == 3000ms);
    LONGS_EQUAL(3000, signals.snapshot(now).signals.front().cold_for.count());
}

// A process that had been frozen used permits that it received late.
TEST(cold_signals, late_offer_is_used)
{
    std::uint64_t asked = 0;
    signals.ask_for_permit = [&asked](const backpressure::permit_request& r) {
        asked = r.number;
    };
    cold(60s);
    signals.request_permit(endpoint, 30ms, now);
    const std::uint64_t first = asked;
    now += backpressure::permit_answer_timeout + 1ms;
    CHECK(!signals.on_offer({endpoint, true, 0ms, first}, now));
    signals.request_permit(endpoint, 30ms, now);
    CHECK(!signals.on_offer({endpoint, true, 0ms, first}, now));
    CHECK(signals.on_offer({endpoint, true, 0ms, asked}, now));
    CHECK(signals.admits(endpoint, now));
    CHECK(!signals.admits(endpoint, now + backpressure::cold_permit_lifetime));
}

// A request that had started before the endpoint became cold, or long ago, was sent without a
// permit.
TEST(cold_signals, request_is_written_without_a_recent_permit)
{
    const core::time_point started = now;
    now += 10ms;
    cold(3000ms);
    CHECK(!signals.may_send(endpoint, started, now));
    CHECK(signals.may_send(endpoint, now, now + backpressure::cold_permit_lifetime));
    CHECK(!signals.may_send(endpoint, now, now + 1s));
    CHECK(signals.may_send(endpoint, started, now + 3s));
}

// A gateway that has just started treats all endpoints as cold. Its peers, which know better, must
// not follow it.
TEST(cold_signals, assumption_is_passed_on_or_replaces_what_is_known)
{
    bool assumed = false;
    signals.ask_for_permit = [&assumed](const backpressure::permit_request& r) {
        assumed = r.cold_assumed;
    };
    signals.assume_cold(endpoint, core::incarnation{1}, rate, 2000ms, now);
    CHECK(!signals.admits(endpoint, now));
    CHECK(signals.snapshot(now).signals.empty());
    signals.request_permit(endpoint, 30ms, now);
    CHECK(assumed);
    cold(500ms);
    CHECK(!signals.snapshot(now).signals.empty());
    signals.assume_cold(endpoint, core::incarnation{1}, rate, 2000ms, now);
    CHECK(signals.cold_for(endpoint, now) == 2000ms);
    CHECK(!signals.snapshot(now).signals.empty());
    cold(0ms);
    CHECK(signals.admits(endpoint, now));
}
