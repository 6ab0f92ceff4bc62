#include "admission/admissionconstants.h"
#include "admission/requestholds.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::admission;
using namespace std::chrono_literals;

TEST_GROUP(request_holds_of_suspects)
{
    request_holds holds;
    core::time_point now{1h};
    const fingerprint deadly{"deadly"};

    suspect_verdict verdict() const
    {
        return holds.verdict(deadly, now);
    }
    void hold()
    {
        holds.hold(deadly, core::workspace_id("w"), now);
    }
};

TEST(request_holds_of_suspects, request_is_refused_until_its_hold_ends_and_then_probed)
{
    CHECK(verdict() == suspect_verdict::admit);
    hold();
    CHECK(verdict() == suspect_verdict::refuse);
    CHECK(holds.hold_time(deadly, now) == initial_hold);
    now += initial_hold;
    CHECK(verdict() == suspect_verdict::probe);
    CHECK(holds.verdict(fingerprint("other"), now) == suspect_verdict::admit);
}

TEST(request_holds_of_suspects, only_one_probe_runs)
{
    hold();
    now += initial_hold;
    holds.begin_probe(deadly, now);
    CHECK(verdict() == suspect_verdict::refuse);
    holds.end_probe(deadly);
    CHECK(verdict() == suspect_verdict::probe);
    holds.begin_probe(deadly, now);
    now += probe_timeout;
    CHECK(verdict() == suspect_verdict::probe);
}

TEST(request_holds_of_suspects, probe_that_crashes_prolongs_the_hold_up_to_its_maximum)
{
    hold();
    core::duration expected = initial_hold;
    for (int probes = 0; probes < 5; ++probes) {
        CHECK(holds.hold_time(deadly, now) == expected);
        now += expected;
        CHECK(holds.on_crash(deadly, now));
        expected = std::min<core::duration>(expected * hold_growth, max_hold);
    }
}

TEST(request_holds_of_suspects, attempt_from_before_the_hold_does_not_prolong_it)
{
    hold();
    CHECK(holds.on_crash(deadly, now + 100ms));
    CHECK(holds.hold_time(deadly, now) == initial_hold);
    CHECK(!holds.on_crash(fingerprint("other"), now));
}

TEST(request_holds_of_suspects, answer_ends_the_hold)
{
    hold();
    CHECK(holds.release(deadly));
    CHECK(verdict() == suspect_verdict::admit);
    CHECK(!holds.release(deadly));
}

TEST(request_holds_of_suspects, hold_of_a_peer_that_has_seen_more_probes_is_taken_over)
{
    hold();
    const request_hold later{core::workspace_id("w"), now, now + 5min, 1, now + 1s};
    holds.merge(deadly, later);
    CHECK(holds.hold_time(deadly, now) == 5min);
    const request_hold earlier{core::workspace_id("w"), now - 1min, now - 30s, 0, {}};
    holds.merge(deadly, earlier);
    CHECK(holds.hold_time(deadly, now) == 5min);
    holds.merge(fingerprint("other"), later);
    CHECK(holds.verdict(fingerprint("other"), now) == suspect_verdict::refuse);
}

TEST(request_holds_of_suspects, old_holds_are_forgotten)
{
    hold();
    now += crash_evidence_lifetime + 1s;
    holds.expire(now);
    CHECK(holds.all().empty());
}

TEST(request_holds_of_suspects, memory_is_bounded_and_the_oldest_hold_is_dropped_first)
{
    hold();
    for (std::size_t i = 0; i < max_held_requests; ++i) {
        now += 1ms;
        holds.hold(fingerprint(std::to_string(i)), core::workspace_id("w"), now);
    }
    LONGS_EQUAL(max_held_requests, holds.all().size());
    CHECK(verdict() == suspect_verdict::admit);
}
