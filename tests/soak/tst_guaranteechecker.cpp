#include "soak/guaranteechecker.h"

#include "CppUTest/TestHarness.h"

#include <algorithm>

using namespace currantpitch;
using namespace currantpitch::soak;
using namespace std::chrono_literals;

// Most tests violate one guarantee and expect the finding. The run without disturbances checks that
// there are no findings otherwise.
TEST_GROUP(judges)
{
    using kind = declared_route::kind;

    guarantee_checker checker{guarantee_limits{}};
    core::time_point t0 = core::runtime_clock::now();
    declared_configuration configuration;
    int request_count = 0;

    void setup() override
    {
        configuration.version = 1;
        configuration.routes = {{"/look/", "desk", kind::idempotent, 1500ms, 2},
                                {"/book/", "desk", kind::at_most_once, 1500ms, 2}};
        configuration.workspaces = {{"alpha", {"key-1", "key-2"}}};
        checker.on_configuration(configuration, t0);
    }
    sent_call send(core::duration after, const std::string& target = "/look/x",
                   kind route_kind = kind::idempotent)
    {
        sent_call s{"r" + std::to_string(++request_count),
                    0,
                    "GET",
                    target,
                    "",
                    "key-1",
                    route_kind,
                    1500ms,
                    t0 + after};
        checker.on_sent(s);
        return s;
    }
    arrival make_arrival(const sent_call& s, core::duration delay = 5ms)
    {
        arrival a;
        a.request = s.request;
        a.endpoint = core::endpoint_id("e-1");
        a.service = core::service_id("desk");
        a.workspace = core::workspace_id("alpha");
        a.runs = true;
        a.method = s.method;
        a.target = s.target;
        a.body = s.body;
        a.signature = "sig-" + s.request;
        a.at = s.at + delay;
        return a;
    }
    call_result answered(const sent_call& s, unsigned status = 200)
    {
        call_result result;
        result.outcome = call_result::outcome_kind::answered;
        result.status = status;
        result.at = s.at + 20ms;
        if (status == 200) {
            result.signature = "sig-" + s.request;
        }
        return result;
    }
    void serve(const sent_call& s)
    {
        checker.on_arrival(make_arrival(s));
        checker.on_end(s.request, answered(s));
    }
    bool has_finding(const std::string& guarantee) const
    {
        return std::any_of(checker.findings().begin(), checker.findings().end(),
                           [&](const std::string& f) { return f.starts_with(guarantee + " "); });
    }
};

TEST(judges, nothing_is_found_in_a_run_without_disturbances)
{
    for (int i = 0; i < 200; ++i) {
        serve(send(i * 50ms, i % 2 == 0 ? "/look/x" : "/book/x",
                   i % 2 == 0 ? kind::idempotent : kind::at_most_once));
    }
    checker.finish();
    CHECK(checker.findings().empty());
    DOUBLES_EQUAL(1.0, checker.success_ratio_since(t0), 0.001);
}

TEST(judges, a_request_that_no_caller_sent_is_found)
{
    sent_call s;
    s.request = "foreign";
    checker.on_arrival(make_arrival(s));
    CHECK(has_finding("unasked"));
}

TEST(judges, a_changed_request_is_found)
{
    const sent_call s = send(0ms);
    arrival a = make_arrival(s);
    a.body = "other";
    checker.on_arrival(a);
    CHECK(has_finding("changed"));
}

TEST(judges, a_forwarded_key_is_found)
{
    arrival a = make_arrival(send(0ms));
    a.key_forwarded = true;
    checker.on_arrival(a);
    CHECK(has_finding("key-passed-on"));
}

TEST(judges, a_second_run_is_found)
{
    const sent_call s = send(0ms, "/book/x", kind::at_most_once);
    checker.on_arrival(make_arrival(s));
    CHECK(!has_finding("twice"));
    checker.on_arrival(make_arrival(s));
    CHECK(has_finding("twice"));
}

TEST(judges, a_refusal_after_a_run_is_found)
{
    const sent_call s = send(0ms);
    checker.on_arrival(make_arrival(s));
    checker.on_end(s.request, answered(s, 503));
    CHECK(has_finding("refused-and-ran"));
}

TEST(judges, a_run_after_a_refusal_is_found)
{
    const sent_call s = send(0ms);
    checker.on_end(s.request, answered(s, 429));
    CHECK(!has_finding("refused-and-ran"));
    checker.on_arrival(make_arrival(s));
    CHECK(has_finding("refused-and-ran"));
}

TEST(judges, an_answer_of_another_run_is_found)
{
    const sent_call s = send(0ms);
    call_result result = answered(s);
    result.signature = "sig-other";
    checker.on_arrival(make_arrival(s));
    checker.on_end(s.request, result);
    CHECK(has_finding("mixed"));
}

TEST(judges, a_success_without_an_endpoint_is_found)
{
    const sent_call s = send(0ms);
    call_result result = answered(s);
    result.signature.reset();
    checker.on_end(s.request, result);
    CHECK(has_finding("mixed"));
}

TEST(judges, a_defect_of_an_answer_is_found)
{
    const sent_call s = send(0ms);
    call_result result = answered(s);
    result.defect = "other body";
    checker.on_arrival(make_arrival(s));
    checker.on_end(s.request, result);
    CHECK(has_finding("mixed"));
}

TEST(judges, a_denial_of_an_always_allowed_request_is_found)
{
    const sent_call s = send(0ms);
    checker.on_end(s.request, answered(s, 401));
    CHECK(has_finding("denied"));
}

TEST(judges, a_run_by_another_service_is_found)
{
    arrival a = make_arrival(send(0ms));
    a.service = core::service_id("archive");
    checker.on_arrival(a);
    CHECK(has_finding("never-allowed"));
}

TEST(judges, an_old_configuration_is_found_after_the_time_limit)
{
    declared_configuration next = configuration;
    next.routes[0].service = "archive";
    checker.on_configuration(next, t0 + 10s);
    checker.on_arrival(make_arrival(send(11s)));
    CHECK(!has_finding("old-configuration"));
    checker.on_arrival(make_arrival(send(13s)));
    CHECK(has_finding("old-configuration"));
}

TEST(judges, a_disturbed_gateway_may_use_an_old_configuration)
{
    declared_configuration next = configuration;
    next.routes[0].service = "archive";
    checker.on_configuration(next, t0 + 10s);
    checker.on_disturbance_start(disturbance_target::gateway, 0, t0 + 9s);
    checker.on_disturbance_end(disturbance_target::gateway, 0, t0 + 11s);
    checker.on_arrival(make_arrival(send(13s)));
    CHECK(!has_finding("old-configuration"));
    checker.on_arrival(make_arrival(send(15s)));
    CHECK(has_finding("old-configuration"));
}

TEST(judges, a_revoked_key_is_found_even_when_the_gateway_is_disturbed)
{
    declared_configuration next = configuration;
    next.workspaces[0].keys = {"key-2"};
    checker.on_configuration(next, t0 + 1s);
    checker.on_disturbance_start(disturbance_target::gateway, 0, t0);
    checker.on_arrival(make_arrival(send(5s)));
    CHECK(!has_finding("revoked-key"));
    checker.on_arrival(make_arrival(send(7s)));
    CHECK(has_finding("revoked-key"));
}

TEST(judges, a_gateway_that_returns_to_an_older_configuration_is_found)
{
    declared_configuration next = configuration;
    next.routes[0].service = "archive";
    checker.on_configuration(next, t0 + 10s);
    checker.on_disturbance_start(disturbance_target::gateway, 0, t0);
    arrival a = make_arrival(send(10500ms));
    a.service = core::service_id("archive");
    checker.on_arrival(a);
    checker.on_arrival(make_arrival(send(11s)));
    CHECK(!has_finding("went-back"));
    checker.on_arrival(make_arrival(send(13s)));
    CHECK(has_finding("went-back"));
    CHECK(!has_finding("old-configuration"));
}

TEST(judges, a_restarted_gateway_may_use_an_older_configuration)
{
    declared_configuration next = configuration;
    next.routes[0].service = "archive";
    checker.on_configuration(next, t0 + 10s);
    checker.on_disturbance_start(disturbance_target::gateway, 0, t0);
    arrival a = make_arrival(send(10500ms));
    a.service = core::service_id("archive");
    checker.on_arrival(a);
    checker.on_gateway_start(0);
    checker.on_arrival(make_arrival(send(13s)));
    CHECK(!has_finding("went-back"));
}

TEST(judges, a_run_at_a_leaving_endpoint_is_found)
{
    checker.on_endpoint_leaving(core::endpoint_id("e-1"), t0 + 5s);
    checker.on_arrival(make_arrival(send(6s)));
    CHECK(!has_finding("drain"));
    checker.on_arrival(make_arrival(send(8s)));
    CHECK(has_finding("drain"));
}

TEST(judges, an_answer_that_never_comes_is_found)
{
    const sent_call s = send(0ms);
    call_result result;
    result.outcome = call_result::outcome_kind::gave_up;
    result.at = s.at + 2100ms;
    checker.on_end(s.request, result);
    CHECK(has_finding("no-final-answer"));
}

TEST(judges, a_forwarded_request_that_is_lost_is_found)
{
    const sent_call s = send(0ms);
    checker.on_arrival(make_arrival(s));
    call_result result;
    result.outcome = call_result::outcome_kind::closed;
    result.at = s.at + 50ms;
    checker.on_end(s.request, result);
    CHECK(has_finding("lost"));
}

TEST(judges, too_many_retries_are_found)
{
    for (int i = 0; i < 60; ++i) {
        const sent_call s = send(i * 100ms);
        arrival first = make_arrival(s);
        first.runs = false;
        checker.on_arrival(first);
        serve(s);
    }
    checker.finish();
    CHECK(has_finding("retries"));
}

TEST(judges, too_many_attempts_are_found)
{
    for (int i = 0; i < 4; ++i) {
        const sent_call s = send(i * 30s);
        checker.on_arrival(make_arrival(s));
        checker.on_arrival(make_arrival(s));
        checker.on_arrival(make_arrival(s));
    }
    checker.finish();
    CHECK(has_finding("attempts"));
}

TEST(judges, endpoints_that_a_part_of_prompts_keeps_crashing_are_found)
{
    for (int i = 0; i < 12; ++i) {
        const sent_call s = send(i * 1s);
        arrival a = make_arrival(s);
        a.crashed_by = arrival::crash_cause::part;
        checker.on_arrival(a);
        checker.on_part_crash(a.at);
    }
    checker.finish();
    CHECK(has_finding("crashing-part"));
}

TEST(judges, requests_that_crash_endpoints_are_allowed_until_the_part_is_known)
{
    for (int i = 0; i < 8; ++i) {
        const sent_call s = send(i * 600ms);
        arrival a = make_arrival(s);
        a.crashed_by = arrival::crash_cause::part;
        checker.on_arrival(a);
        checker.on_part_crash(a.at);
    }
    checker.finish();
    CHECK(!has_finding("crashing-part"));
}

TEST(judges, endpoints_that_one_request_keeps_crashing_are_found)
{
    for (int i = 0; i < 8; ++i) {
        arrival a = make_arrival(send(i * 2s, "/look/deadly"));
        a.crashed_by = arrival::crash_cause::request;
        checker.on_arrival(a);
        checker.on_request_crash(a.target, a.at);
    }
    LONGS_EQUAL(8, checker.request_crashes());
    LONGS_EQUAL(4, checker.late_crashing_requests());
    checker.finish();
    CHECK(has_finding("crashing-request"));
}

TEST(judges, several_requests_may_crash_three_endpoints_each)
{
    for (int i = 0; i < 9; ++i) {
        arrival a = make_arrival(send(i * 2s, "/look/deadly" + std::to_string(i % 3)));
        a.crashed_by = arrival::crash_cause::request;
        checker.on_arrival(a);
        checker.on_request_crash(a.target, a.at);
    }
    checker.finish();
    CHECK(!has_finding("crashing-request"));
}

TEST(judges, a_sound_request_that_is_refused_as_a_suspect_is_found)
{
    const sent_call deadly = send(0s, "/look/deadly");
    checker.on_request_crash(deadly.target, t0);
    call_result refused = answered(deadly, 503);
    refused.refused_as_suspect = true;
    checker.on_end(deadly.request, refused);
    LONGS_EQUAL(0, checker.sound_suspected());
    const sent_call sound = send(1s);
    refused = answered(sound, 503);
    refused.refused_as_suspect = true;
    checker.on_end(sound.request, refused);
    checker.finish();
    CHECK(has_finding("sound-suspected"));
}

TEST(judges, success_ratio_shows_a_system_that_does_not_recover)
{
    serve(send(0ms));
    const sent_call refused = send(20s);
    checker.on_end(refused.request, answered(refused, 503));
    DOUBLES_EQUAL(0.0, checker.success_ratio_since(t0 + 10s), 0.001);
}

TEST(judges, a_disturbance_during_a_stop_is_reported)
{
    CHECK(!checker.was_disturbed(0, t0, t0 + 8s));
    checker.on_disturbance_start(disturbance_target::gateway, 0, t0 + 6s);
    CHECK(checker.was_disturbed(0, t0, t0 + 8s));
    CHECK(!checker.was_disturbed(1, t0, t0 + 8s));
    CHECK(!checker.was_disturbed(0, t0, t0 + 5s));
}

TEST_GROUP(signal_checkers)
{
    signal_checker checker;
    const core::endpoint_id e{"e-1"};
    core::time_point t0{1h};

    void setup() override
    {
        checker.on_limit(e, 1, t0);
    }
    // Sends as many requests as the limit tolerates in a window, and one more.
    std::string exceed(std::size_t gateway, core::duration after)
    {
        std::string finding;
        for (int i = 0; i < 12; ++i) {
            finding += checker.on_arrival(gateway, e, t0 + after, t0 + after + i * 10ms);
        }
        return finding;
    }
};

TEST(signal_checkers, requests_above_the_limit_are_found_once)
{
    checker.on_answer(0, e, t0, t0 + 1s);
    CHECK(exceed(0, 1s).empty());
    CHECK(!exceed(0, 5s).empty());
    CHECK(exceed(0, 10s).empty());
}

TEST(signal_checkers, gateways_that_were_not_told_do_not_count)
{
    checker.on_answer(0, e, t0 - 1ms, t0 + 1s);
    CHECK(exceed(0, 5s).empty());
    checker.on_answer(0, e, t0, t0 + 6s);
    checker.on_gateway_start(0);
    CHECK(exceed(0, 10s).empty());
}

TEST(signal_checkers, limit_is_kept_until_it_ends)
{
    checker.on_answer(0, e, t0, t0 + 1s);
    for (int i = 0; i < 20; ++i) {
        CHECK(checker.on_arrival(0, e, t0 + 4s, t0 + 4s + i * 400ms).empty());
    }
    checker.on_limit_end(e);
    CHECK(exceed(0, 20s).empty());
}

TEST(signal_checkers, requests_after_an_endpoint_has_said_that_it_leaves_are_found)
{
    checker.on_leaving(e, t0);
    CHECK(checker.on_arrival(0, e, t0 + 5s, t0 + 5s).empty());
    checker.on_answer(0, e, t0 + 5s, t0 + 5s);
    CHECK(checker.on_arrival(0, e, t0 + 7s, t0 + 8s).empty());
    CHECK(!checker.on_arrival(0, e, t0 + 7s + 1ms, t0 + 8s).empty());
}

TEST(signal_checkers, requests_while_an_endpoint_wants_none_are_found)
{
    checker.on_quiet(0, e, 2s, t0);
    for (int i = 0; i < 5; ++i) {
        CHECK(checker.on_arrival(0, e, t0, t0 + 400ms).empty());
        CHECK(checker.on_arrival(1, e, t0, t0 + 1s).empty());
    }
    CHECK(checker.on_arrival(0, e, t0, t0 + 500ms).empty());
    CHECK(checker.on_arrival(0, e, t0, t0 + 1s).empty());
    CHECK(!checker.on_arrival(0, e, t0, t0 + 1999ms).empty());
    CHECK(checker.on_arrival(0, e, t0, t0 + 2s).empty());
}

TEST(judges, requests_to_an_evacuated_failure_domain_are_found)
{
    checker.evacuations().on_endpoint(core::endpoint_id("e-1"), "fd-1");
    checker.evacuations().on_evacuated("fd-2", t0);
    checker.evacuations().on_evacuated("fd-1", t0 + 1s);
    serve(send(5900ms));
    arrival misdirected = make_arrival(send(6100ms));
    misdirected.runs = false;
    misdirected.misdirected = true;
    checker.on_arrival(misdirected);
    // A gateway that was cut off 4 s ago need not know of the evacuation.
    checker.on_disturbance_start(disturbance_target::gateway, 0, t0 + 1s);
    checker.on_disturbance_end(disturbance_target::gateway, 0, t0 + 3s);
    serve(send(6900ms));
    CHECK(!has_finding("evacuation"));
    serve(send(7100ms));
    CHECK(has_finding("evacuation"));
}

TEST(judges, requests_are_allowed_from_the_end_of_an_evacuation_on)
{
    checker.evacuations().on_endpoint(core::endpoint_id("e-1"), "fd-1");
    checker.evacuations().on_evacuated("fd-1", t0);
    checker.evacuations().on_lifted("fd-1");
    serve(send(6s));
    CHECK(!has_finding("evacuation"));
}
