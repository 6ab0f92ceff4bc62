#include "soak/judge.h"

#include "CppUTest/TestHarness.h"

#include <algorithm>

using namespace currantpitch;
using namespace currantpitch::soak;
using namespace std::chrono_literals;

// Each test plants the breach of one promise; the calm run shows that none is found without one.
TEST_GROUP(judges)
{
    using kind = declared_route::kind;

    judge j{bounds{}};
    core::time_point t0 = core::runtime_clock::now();
    declared_configuration c;
    int made = 0;

    void setup() override
    {
        c.version = 1;
        c.routes = {{"/look/", "desk", kind::idempotent, 1500ms, 2},
                    {"/book/", "desk", kind::at_most_once, 1500ms, 2}};
        c.workspaces = {{"alpha", {"key-1", "key-2"}}};
        j.on_configuration(c, t0);
    }
    sent_call sent(core::duration after, const std::string& target = "/look/x",
                   kind retry = kind::idempotent)
    {
        sent_call s{
            "r" + std::to_string(++made), 0, "GET", target, "", "key-1", retry, 1500ms, t0 + after};
        j.on_sent(s);
        return s;
    }
    arrival run_of(const sent_call& s, core::duration later = 5ms)
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
        a.at = s.at + later;
        return a;
    }
    call_end answered(const sent_call& s, unsigned status = 200)
    {
        call_end e;
        e.end = call_end::how::answered;
        e.status = status;
        e.at = s.at + 20ms;
        if (status == 200) {
            e.signature = "sig-" + s.request;
        }
        return e;
    }
    void serve(const sent_call& s)
    {
        j.on_arrival(run_of(s));
        j.on_end(s.request, answered(s));
    }
    bool found(const std::string& promise) const
    {
        return std::any_of(j.findings().begin(), j.findings().end(),
                           [&](const std::string& f) { return f.starts_with(promise + " "); });
    }
};

TEST(judges, nothing_is_found_in_a_calm_run)
{
    for (int i = 0; i < 200; ++i) {
        serve(sent(i * 50ms, i % 2 == 0 ? "/look/x" : "/book/x",
                   i % 2 == 0 ? kind::idempotent : kind::at_most_once));
    }
    j.finish();
    CHECK(j.findings().empty());
    DOUBLES_EQUAL(1.0, j.served_since(t0), 0.001);
}

TEST(judges, a_request_that_nobody_sent_is_found)
{
    sent_call s;
    s.request = "foreign";
    j.on_arrival(run_of(s));
    CHECK(found("unasked"));
}

TEST(judges, a_changed_request_is_found)
{
    const sent_call s = sent(0ms);
    arrival a = run_of(s);
    a.body = "other";
    j.on_arrival(a);
    CHECK(found("changed"));
}

TEST(judges, a_key_that_was_passed_on_is_found)
{
    arrival a = run_of(sent(0ms));
    a.shows_key = true;
    j.on_arrival(a);
    CHECK(found("key-passed-on"));
}

TEST(judges, a_second_run_is_found)
{
    const sent_call s = sent(0ms, "/book/x", kind::at_most_once);
    j.on_arrival(run_of(s));
    CHECK(!found("twice"));
    j.on_arrival(run_of(s));
    CHECK(found("twice"));
}

TEST(judges, a_refusal_after_a_run_is_found)
{
    const sent_call s = sent(0ms);
    j.on_arrival(run_of(s));
    j.on_end(s.request, answered(s, 503));
    CHECK(found("refused-and-ran"));
}

TEST(judges, a_run_after_a_refusal_is_found)
{
    const sent_call s = sent(0ms);
    j.on_end(s.request, answered(s, 429));
    CHECK(!found("refused-and-ran"));
    j.on_arrival(run_of(s));
    CHECK(found("refused-and-ran"));
}

TEST(judges, an_answer_of_another_run_is_found)
{
    const sent_call s = sent(0ms);
    call_end e = answered(s);
    e.signature = "sig-other";
    j.on_arrival(run_of(s));
    j.on_end(s.request, e);
    CHECK(found("mixed"));
}

TEST(judges, a_success_without_an_endpoint_is_found)
{
    const sent_call s = sent(0ms);
    call_end e = answered(s);
    e.signature.reset();
    j.on_end(s.request, e);
    CHECK(found("mixed"));
}

TEST(judges, a_defect_of_an_answer_is_found)
{
    const sent_call s = sent(0ms);
    call_end e = answered(s);
    e.defect = "other body";
    j.on_arrival(run_of(s));
    j.on_end(s.request, e);
    CHECK(found("mixed"));
}

TEST(judges, a_denial_of_what_was_always_allowed_is_found)
{
    const sent_call s = sent(0ms);
    j.on_end(s.request, answered(s, 401));
    CHECK(found("denied"));
}

TEST(judges, a_run_by_another_service_is_found)
{
    arrival a = run_of(sent(0ms));
    a.service = core::service_id("archive");
    j.on_arrival(a);
    CHECK(found("never-allowed"));
}

TEST(judges, an_old_configuration_is_found_once_its_time_is_over)
{
    declared_configuration next = c;
    next.routes[0].service = "archive";
    j.on_configuration(next, t0 + 10s);
    j.on_arrival(run_of(sent(11s)));
    CHECK(!found("old-configuration"));
    j.on_arrival(run_of(sent(13s)));
    CHECK(found("old-configuration"));
}

TEST(judges, a_disturbed_gateway_may_use_an_old_configuration)
{
    declared_configuration next = c;
    next.routes[0].service = "archive";
    j.on_configuration(next, t0 + 10s);
    j.on_disturbance(disturbed::gateway, 0, t0 + 9s);
    j.on_calm(disturbed::gateway, 0, t0 + 11s);
    j.on_arrival(run_of(sent(13s)));
    CHECK(!found("old-configuration"));
    j.on_arrival(run_of(sent(15s)));
    CHECK(found("old-configuration"));
}

TEST(judges, a_revoked_key_is_found_even_when_the_gateway_is_disturbed)
{
    declared_configuration next = c;
    next.workspaces[0].keys = {"key-2"};
    j.on_configuration(next, t0 + 1s);
    j.on_disturbance(disturbed::gateway, 0, t0);
    j.on_arrival(run_of(sent(5s)));
    CHECK(!found("revoked-key"));
    j.on_arrival(run_of(sent(7s)));
    CHECK(found("revoked-key"));
}

TEST(judges, a_gateway_that_goes_back_is_found)
{
    declared_configuration next = c;
    next.routes[0].service = "archive";
    j.on_configuration(next, t0 + 10s);
    j.on_disturbance(disturbed::gateway, 0, t0);
    arrival a = run_of(sent(10500ms));
    a.service = core::service_id("archive");
    j.on_arrival(a);
    j.on_arrival(run_of(sent(11s)));
    CHECK(!found("went-back"));
    j.on_arrival(run_of(sent(13s)));
    CHECK(found("went-back"));
    CHECK(!found("old-configuration"));
}

TEST(judges, a_new_life_may_know_less)
{
    declared_configuration next = c;
    next.routes[0].service = "archive";
    j.on_configuration(next, t0 + 10s);
    j.on_disturbance(disturbed::gateway, 0, t0);
    arrival a = run_of(sent(10500ms));
    a.service = core::service_id("archive");
    j.on_arrival(a);
    j.on_gateway_start(0);
    j.on_arrival(run_of(sent(13s)));
    CHECK(!found("went-back"));
}

TEST(judges, work_for_an_endpoint_that_leaves_is_found)
{
    j.on_endpoint_leaving(core::endpoint_id("e-1"), t0 + 5s);
    j.on_arrival(run_of(sent(6s)));
    CHECK(!found("drain"));
    j.on_arrival(run_of(sent(8s)));
    CHECK(found("drain"));
}

TEST(judges, an_answer_that_never_comes_is_found)
{
    const sent_call s = sent(0ms);
    call_end e;
    e.end = call_end::how::gave_up;
    e.at = s.at + 2100ms;
    j.on_end(s.request, e);
    CHECK(found("no-final-answer"));
}

TEST(judges, a_request_that_was_passed_on_and_lost_is_found)
{
    const sent_call s = sent(0ms);
    j.on_arrival(run_of(s));
    call_end e;
    e.end = call_end::how::closed;
    e.at = s.at + 50ms;
    j.on_end(s.request, e);
    CHECK(found("lost"));
}

TEST(judges, too_many_repeats_are_found)
{
    for (int i = 0; i < 60; ++i) {
        const sent_call s = sent(i * 100ms);
        arrival first = run_of(s);
        first.runs = false;
        j.on_arrival(first);
        serve(s);
    }
    j.finish();
    CHECK(found("retries"));
}

TEST(judges, too_many_attempts_are_found)
{
    for (int i = 0; i < 4; ++i) {
        const sent_call s = sent(i * 30s);
        j.on_arrival(run_of(s));
        j.on_arrival(run_of(s));
        j.on_arrival(run_of(s));
    }
    j.finish();
    CHECK(found("attempts"));
}

TEST(judges, a_system_that_does_not_recover_is_seen)
{
    serve(sent(0ms));
    const sent_call refused = sent(20s);
    j.on_end(refused.request, answered(refused, 503));
    DOUBLES_EQUAL(0.0, j.served_since(t0 + 10s), 0.001);
}

TEST(judges, a_pause_in_the_middle_of_a_stop_holds_it_up)
{
    CHECK(!j.held_up(0, t0, t0 + 8s));
    j.on_disturbance(disturbed::gateway, 0, t0 + 6s);
    CHECK(j.held_up(0, t0, t0 + 8s));
    CHECK(!j.held_up(1, t0, t0 + 8s));
    CHECK(!j.held_up(0, t0, t0 + 5s));
}
