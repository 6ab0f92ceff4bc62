#include "endpoints/guardedendpoint.h"
#include "endpoints/httpservice.h"
#include "fakes/enginegroup.h"
#include "fakes/plainservice.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::endpoints;
using sessions::end_state;
using sessions::work_end;
namespace asio = core::asio;

TEST_GROUP(gate_rules){};

TEST(gate_rules, work_is_refused_when_the_agent_or_the_operator_marks_the_endpoint_leaving)
{
    endpoint_gate gate;
    gate.set_concurrency(2);
    gate.set_healthy(true);
    const sessions::start_work work;
    CHECK(!gate.refusal(work).has_value());
    gate.set_desired_leaving(true);
    CHECK(gate.refusal(work) == "leaving");
    gate.set_desired_leaving(false);
    gate.start_leaving();
    gate.set_desired_leaving(false);
    CHECK(gate.refusal(work) == "leaving");
}

TEST(gate_rules, slots_health_and_isolation_are_enforced)
{
    endpoint_gate gate;
    sessions::start_work work;
    CHECK(gate.refusal(work) == "unhealthy");
    gate.set_healthy(true);
    CHECK(gate.refusal(work) == "busy");
    gate.set_concurrency(2);
    work.isolated = true;
    gate.started(work);
    CHECK(gate.refusal(work) == "isolated");
    work.isolated = false;
    CHECK(!gate.refusal(work).has_value());
    gate.started(work);
    CHECK(gate.refusal(work) == "busy");
}

TEST(gate_rules, borrowed_work_leaves_slots_for_the_others)
{
    endpoint_gate gate;
    gate.set_concurrency(10);
    gate.set_healthy(true);
    sessions::start_work work;
    work.borrowed = true;
    int started = 0;
    while (!gate.refusal(work)) {
        gate.started(work);
        ++started;
    }
    LONGS_EQUAL(8, started);
    CHECK(gate.refusal(work) == "no_slot_to_borrow");
    work.borrowed = false;
    CHECK(!gate.refusal(work).has_value());
}

TEST_GROUP(engine_protocol){};

TEST(engine_protocol, arbitrary_records_are_refused)
{
    CHECK_PROPERTY("arbitrary records", [](const std::string& text) {
        RC_ASSERT(parse_event(text).has_error());
        RC_ASSERT(parse_status(text).has_error());
    });
}

namespace {

struct endpoint_fixture {
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor{
        context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};

    template <class Handler, class Backend>
    work_end run(Handler handler, Backend& backend, sessions::start_work work,
                 std::vector<std::string>& tokens)
    {
        work_end end;
        endpoint_gate gate;
        gate.set_concurrency(4);
        guarded_endpoint<Backend> endpoint(backend, gate);
        core::spawn(context.get_executor(), http::serve(acceptor, handler));
        core::spawn(context.get_executor(), endpoint.poll());
        sessions::token_sink sink(context.get_executor(), work);
        sink.attach([&tokens](const sessions::token& t) { tokens.push_back(t.text); });
        asio::co_spawn(
            context,
            [](guarded_endpoint<Backend>& e, endpoint_gate& g, sessions::start_work w,
               sessions::token_sink& s) -> core::task<work_end> {
                while (!g.healthy()) {
                    co_await core::sleep_for(std::chrono::milliseconds(1));
                }
                co_return co_await e.run(w, s);
            }(endpoint, gate, work, sink),
            [this, &end](std::exception_ptr failure, work_end outcome) {
                CHECK(failure == nullptr);
                end = std::move(outcome);
                context.stop();
            });
        context.run_for(std::chrono::seconds(20));
        return end;
    }
};

sessions::start_work generation(const std::string& prompt, std::uint64_t resume_from)
{
    sessions::start_work work;
    work.body = "{\"prompt\":\"" + prompt + "\",\"max_tokens\":20}";
    work.resume_from = resume_from;
    work.window = 100;
    work.time_left = std::chrono::seconds(10);
    return work;
}

} // namespace

TEST_GROUP(backends)
{
    endpoint_fixture fixture;
    std::vector<std::string> tokens;
    fakes::engine_group group{
        fixture.context.get_executor(),
        fakes::engine_group_options{.step_time = std::chrono::milliseconds(1)}};
    http_engine engine{fixture.context.get_executor(), fixture.acceptor.local_endpoint()};

    work_end generate(const std::string& prompt, std::uint64_t resume_from)
    {
        core::spawn(fixture.context.get_executor(), group.run_steps());
        return fixture.run(
            [this](http::server_connection& c, const http::request& r) -> core::task<void> {
                co_await group.handle(0, c, r);
            },
            engine, generation(prompt, resume_from), tokens);
    }
};

TEST(backends, generation_is_streamed_to_its_end)
{
    const work_end end = generate("hello", 0);
    CHECK(end.state == end_state::finished);
    LONGS_EQUAL(20, end.count);
    LONGS_EQUAL(20, tokens.size());
    CHECK(tokens[3] == fakes::token_at("hello", 3));
}

TEST(backends, generation_resumes_at_an_offset)
{
    const work_end end = generate("hello", 15);
    CHECK(end.state == end_state::finished);
    LONGS_EQUAL(5, tokens.size());
    CHECK(tokens[0] == fakes::token_at("hello", 15));
}

TEST(backends, engine_crash_is_distinguished_from_a_failed_answer)
{
    const work_end end = generate("crash-the-engine", 0);
    CHECK(end.state == end_state::crashed);
    LONGS_EQUAL(1001, end.endpoint_incarnation.value);
}

TEST(backends, call_that_loses_its_answer_may_have_run)
{
    fakes::plain_service service;
    service.responses_to_drop = 1;
    http_service backend(fixture.context.get_executor(), fixture.acceptor.local_endpoint());
    sessions::start_work work;
    work.kind = sessions::work_kind::call;
    work.method = "POST";
    work.path = "/bookings";
    work.body = "seat";
    work.time_left = std::chrono::seconds(5);
    const work_end end = fixture.run(std::ref(service), backend, work, tokens);
    CHECK(end.state == end_state::failed);
    LONGS_EQUAL(1, service.runs["seat"]);
}
