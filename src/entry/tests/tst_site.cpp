#include "support/localsite.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;
using testing::local_site;

namespace {

std::string answer_text(const std::string& body)
{
    std::string text;
    http::record_splitter records("\n\n");
    records.add(body);
    for (std::optional<std::string> r = records.next(); r; r = records.next()) {
        if (r->starts_with("data: ")) {
            text +=
                std::string(boost::json::parse(r->substr(6)).as_object().at("token").as_string());
        }
    }
    return text;
}

std::string expected_text(const std::string& prompt, std::uint64_t tokens)
{
    std::string text;
    for (std::uint64_t i = 0; i < tokens; ++i) {
        text += fakes::token_at(prompt, i);
    }
    return text;
}

std::string outcome_of(const core::result<http::response>& answer)
{
    return answer ? answer.value().header_value("X-Outcome").value_or("") : "none";
}

std::size_t busiest_rank(const fakes::engine_group& group)
{
    std::size_t busiest = 0;
    for (std::size_t i = 0; i < group.ranks.size(); ++i) {
        busiest = group.ranks[i].running > group.ranks[busiest].running ? i : busiest;
    }
    return busiest;
}

} // namespace

TEST_GROUP(site){};

TEST(site, generation_resumes_at_the_next_token_when_its_engine_fails)
{
    local_site site;
    core::result<http::response> answer = core::error{};
    CHECK(site.run([&answer](local_site& s) -> core::task<void> {
        co_await s.set_up();
        bool done = false;
        core::spawn_then(s.executor(), s.generate(0, "long question", 400),
                         [&answer, &done](core::result<http::response> got) {
                             answer = std::move(got);
                             done = true;
                         });
        while (s.group.ranks[busiest_rank(s.group)].running == 0) {
            co_await core::sleep_for(1ms);
        }
        co_await core::sleep_for(100ms);
        s.group.kill(busiest_rank(s.group));
        while (!done) {
            co_await core::sleep_for(5ms);
        }
    }));
    LONGS_EQUAL(200, answer.value().status);
    CHECK(answer_text(answer.value().body) == expected_text("long question", 400));
    CHECK(answer.value().body.find("event: done") != std::string::npos);
    LONGS_EQUAL(0, site.group.mismatched_steps);
}

TEST(site, request_is_quarantined_after_crashing_two_engines)
{
    local_site site;
    core::result<http::response> first = core::error{};
    core::result<http::response> later = core::error{};
    core::result<http::response> harmless = core::error{};
    CHECK(site.run([&](local_site& s) -> core::task<void> {
        co_await s.set_up();
        first = co_await s.generate(0, "crash-the-engine", 5);
        while (!later || later.value().status != 403) {
            later = co_await s.generate(1, "crash-the-engine", 5);
            co_await core::sleep_for(50ms);
        }
        harmless = co_await s.generate(1, "harmless", 5);
    }));
    CHECK(outcome_of(first) == "unknown" || outcome_of(first) == "not_run");
    CHECK(outcome_of(later) == "not_run");
    LONGS_EQUAL(200, harmless.value().status);
    LONGS_EQUAL(2, site.group.crashes);
}

TEST(site, keyed_call_runs_once_regardless_of_the_receiving_entry)
{
    local_site site;
    core::result<http::response> first = core::error{};
    core::result<http::response> repeated = core::error{};
    core::result<http::response> different_body = core::error{};
    core::result<http::response> during_outage = core::error{};
    CHECK(site.run([&](local_site& s) -> core::task<void> {
        co_await s.set_up();
        first = co_await s.call(0, "key", "seat 4");
        repeated = co_await s.call(1, "key", "seat 4");
        different_body = co_await s.call(1, "key", "seat 5");
        s.store.faults.unavailable = true;
        during_outage = co_await s.call(0, "another", "seat 6");
        s.store.faults.unavailable = false;
    }));
    LONGS_EQUAL(200, first.value().status);
    CHECK(repeated.value().body == first.value().body);
    CHECK(repeated.value().header_value("X-Replayed") == "true");
    CHECK(outcome_of(different_body) == "not_run");
    CHECK(outcome_of(during_outage) == "not_run");
    CHECK(during_outage.value().header_value("X-Earlier-Requests") == "not_checked");
    LONGS_EQUAL(1, site.service.runs["seat 4"]);
    LONGS_EQUAL(0, site.service.runs["seat 5"]);
    LONGS_EQUAL(0, site.service.runs["seat 6"]);
}

TEST(site, call_with_lost_answer_has_unknown_outcome_permanently)
{
    local_site site;
    core::result<http::response> first = core::error{};
    core::result<http::response> repeated = core::error{};
    CHECK(site.run([&](local_site& s) -> core::task<void> {
        co_await s.set_up();
        s.service.responses_to_drop = 1;
        first = co_await s.call(0, "key", "deposit");
        repeated = co_await s.call(1, "key", "deposit");
    }));
    CHECK(outcome_of(first) == "unknown");
    CHECK(outcome_of(repeated) == "unknown");
    LONGS_EQUAL(1, site.service.runs["deposit"]);
}

TEST(site, invalid_requests_get_specific_statuses)
{
    local_site site(1);
    std::vector<unsigned> statuses;
    CHECK(site.run([&statuses](local_site& s) -> core::task<void> {
        co_await s.set_up();
        http::request message;
        message.method = "POST";
        message.target = "/v1/generate";
        message.headers.push_back({"X-Workspace", "nobody"});
        core::result<http::response> got = co_await s.send(0, message);
        statuses.push_back(got.value().status);
        message.headers[0].value = "w";
        message.body = "{broken";
        got = co_await s.send(0, message);
        statuses.push_back(got.value().status);
        message.body = std::string(3 * 1024 * 1024, 'x');
        got = co_await s.send(0, message);
        statuses.push_back(got.value().status);
        message.body = "{}";
        message.target = "/v1/call/unknown-service/";
        got = co_await s.send(0, message);
        statuses.push_back(got.value().status);
        got = co_await s.get(0, "/nowhere");
        statuses.push_back(got.value().status);
    }));
    CHECK(statuses == std::vector<unsigned>({404, 422, 413, 403, 404}));
}

TEST(site, drained_endpoint_gets_no_new_work)
{
    local_site site;
    std::uint64_t ran_after = 0;
    CHECK(site.run([&ran_after](local_site& s) -> core::task<void> {
        co_await s.set_up();
        boost::json::object spec{
            {"service", "tutor"},     {"role", "engine"},  {"host", "agent-1"},   {"rank", 1},
            {"checks_fencing", true}, {"concurrency", 16}, {"desired", "leaving"}};
        co_await s.put_resource("Endpoint", "rank-1", std::move(spec));
        // New work must stop within 2 s, even if the platform becomes unavailable right after the
        // write.
        s.store.faults.unavailable = true;
        co_await core::sleep_for(2s);
        const std::vector<double> before = s.group.ranks[1].expert_tokens;
        for (int i = 0; i < 40; ++i) {
            co_await s.generate(static_cast<std::size_t>(i) % 2, "q" + std::to_string(i), 2);
        }
        for (std::size_t e = 0; e < before.size(); ++e) {
            ran_after += static_cast<std::uint64_t>(s.group.ranks[1].expert_tokens[e] - before[e]);
        }
    }));
    LONGS_EQUAL(0, ran_after);
}

TEST(site, planned_stop_of_an_entry_completes_running_and_late_requests)
{
    local_site site;
    core::result<http::response> running = core::error{};
    core::result<http::response> late = core::error{};
    CHECK(site.run([&](local_site& s) -> core::task<void> {
        co_await s.set_up();
        bool done = false;
        core::spawn_then(s.executor(), s.generate(0, "long", 900),
                         [&running, &done](core::result<http::response> got) {
                             running = std::move(got);
                             done = true;
                         });
        co_await core::sleep_for(50ms);
        s.entries[0]->begin_stop("test");
        // Callers that still use the address must be served.
        late = co_await s.generate(0, "late", 3);
        while (!done) {
            co_await core::sleep_for(5ms);
        }
    }));
    LONGS_EQUAL(200, late.value().status);
    CHECK(answer_text(running.value().body) == expected_text("long", 900));
}
