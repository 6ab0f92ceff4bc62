#include "proxy/requestguard.h"

#include "admission/admissionconstants.h"
#include "core/eventlog.h"
#include "wire/packer.h"
#include "wire/unpacker.h"

#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

// The guards of several entries, whose reports arrive at once.
TEST_GROUP(request_guards)
{
    testing::paused_run run;
    std::vector<std::unique_ptr<proxy::request_guard>> guards;
    const admission::fingerprint deadly{"deadly"};
    const admission::fingerprint sound{"sound"};
    std::uint64_t incarnation = 0;

    void setup() override
    {
        core::silence_log();
        for (std::size_t i = 0; i < 3; ++i) {
            guards.push_back(std::make_unique<proxy::request_guard>(
                [this, i](const admission::suspicion_report& r) { deliver(i, r); }));
        }
    }
    void deliver(std::size_t from, const admission::suspicion_report& report)
    {
        const core::result<admission::suspicion_report> received =
            wire::decode<admission::suspicion_report>(wire::encode(report));
        for (std::size_t to = 0; to < guards.size(); ++to) {
            if (to != from) {
                guards[to]->on_report(received.value());
            }
        }
    }
    /// An endpoint crashes while it runs these requests, each of which came through the next entry.
    void crash(const std::vector<admission::fingerprint>& requests)
    {
        ++incarnation;
        std::size_t entry = incarnation;
        for (const admission::fingerprint& request : requests) {
            guards[++entry % guards.size()]->on_crash(
                {request, core::workspace_id("w"), core::endpoint_id("e"),
                 core::failure_domain_id("fd" + std::to_string(incarnation % 3)),
                 core::incarnation{incarnation}, false, core::runtime_clock::now()});
        }
    }
    void advance(core::duration d)
    {
        run.advance(d);
        for (const std::unique_ptr<proxy::request_guard>& guard : guards) {
            guard->update(core::runtime_clock::now());
        }
    }
    bool refused(const admission::fingerprint& request) const
    {
        const bool refuses = guards[0]->refuses(request);
        for (const std::unique_ptr<proxy::request_guard>& guard : guards) {
            CHECK(guard->refuses(request) == refuses);
        }
        return refuses;
    }
};

TEST(request_guards, two_crashes_through_different_entries_hold_a_request_back_at_all)
{
    crash({deadly});
    CHECK(!refused(deadly));
    advance(2s);
    crash({deadly});
    CHECK(refused(deadly));
    CHECK(guards[0]->retry_after(deadly) == admission::mass_failure_window);
    advance(1s);
    CHECK(refused(deadly));
    CHECK(guards[0]->retry_after(deadly) == admission::initial_hold);
}

TEST(request_guards, request_beside_the_cause_is_not_held_back)
{
    crash({deadly, sound});
    advance(2s);
    crash({deadly});
    advance(1s);
    CHECK(refused(deadly));
    CHECK(!refused(sound));
    advance(1s);
    crash({sound, admission::fingerprint("another")});
    guards[1]->on_answered(sound);
    advance(1s);
    CHECK(!refused(sound));
}

// Neither can be told from the other until one of them is answered or crashes another endpoint.
TEST(request_guards, requests_that_crashed_the_same_endpoints_are_told_apart_by_the_next)
{
    crash({deadly, sound});
    advance(2s);
    crash({deadly, sound});
    CHECK(refused(sound));
    advance(1s);
    CHECK(!refused(sound));
    crash({deadly});
    advance(1s);
    CHECK(refused(deadly));
    CHECK(!refused(sound));
}

TEST(request_guards, answer_clears_a_request_at_all_entries)
{
    crash({sound});
    advance(2s);
    guards[2]->on_answered(sound);
    crash({sound});
    advance(1s);
    CHECK(!refused(sound));
}

TEST(request_guards, one_probe_after_the_hold_decides)
{
    crash({deadly});
    advance(2s);
    crash({deadly});
    advance(1s);
    advance(admission::initial_hold);
    CHECK(!refused(deadly));
    guards[1]->admit("id", deadly);
    CHECK(refused(deadly));
    crash({deadly});
    CHECK(refused(deadly));
    CHECK(guards[2]->retry_after(deadly) == admission::initial_hold * admission::hold_growth);
    advance(admission::initial_hold * admission::hold_growth);
    guards[1]->admit("id", deadly);
    guards[1]->on_answered(deadly);
    CHECK(!refused(deadly));
}

TEST(request_guards, probe_that_did_not_run_is_followed_by_another)
{
    crash({deadly});
    advance(2s);
    crash({deadly});
    advance(1s);
    advance(admission::initial_hold);
    guards[1]->admit("id", deadly);
    CHECK(guards[1]->refuses(deadly));
    guards[1]->on_not_run(deadly);
    CHECK(!guards[1]->refuses(deadly));
}

TEST(request_guards, entry_that_starts_later_learns_what_its_peers_know)
{
    const admission::fingerprint suspected("suspected");
    crash({deadly});
    advance(2s);
    crash({deadly});
    advance(1s);
    crash({suspected});
    proxy::request_guard started([](const admission::suspicion_report&) {});
    CHECK(!started.snapshot().has_value());
    started.on_report(guards[2]->snapshot().value());
    CHECK(started.refuses(deadly));
    LONGS_EQUAL(1, started.crash_count(suspected));
}

// Endpoints of a failure domain that fail together must not hold back what ran there.
TEST(request_guards, mass_failure_is_no_evidence_against_requests_beside_it)
{
    for (std::uint64_t endpoint = 1; endpoint <= 4; ++endpoint) {
        guards[0]->on_crash({endpoint <= 2 ? sound : admission::fingerprint("r"),
                             core::workspace_id("w"), core::endpoint_id("e"),
                             core::failure_domain_id("fd"), core::incarnation{endpoint}, false,
                             core::runtime_clock::now()});
        advance(50ms);
    }
    advance(1s);
    CHECK(!refused(sound));
}
