#include "sessions/agentlink.h"
#include "sessions/entrysession.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::sessions;
namespace asio = core::asio;

namespace {

// Produces the number of tokens given by the body, or does not end if the body is "hang".
struct counting_endpoint {
    std::uint64_t started = 0;

    core::task<work_end> run(start_work work, token_sink& sink)
    {
        ++started;
        if (work.body == "hang") {
            co_await core::sleep_for(std::chrono::hours(1));
        }
        work_end end;
        end.count = std::strtoull(work.body.c_str(), nullptr, 10);
        end.state = end_state::finished;
        for (std::uint64_t i = work.resume_from; i < end.count; ++i) {
            if (!co_await sink.put(i, std::to_string(i))) {
                end.state = end_state::cancelled;
                co_return end;
            }
        }
        co_return end;
    }
    load_report load() const { return {}; }
};

struct loopback_pair {
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor{
        context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    counting_endpoint endpoint;
    session_server<counting_endpoint> server{context.get_executor(), core::host_id("agent"),
                                             core::incarnation{7}, endpoint};
    std::vector<std::shared_ptr<wire::framed_connection>> connections;
    std::shared_ptr<agent_link> link = std::make_shared<agent_link>(
        context.get_executor(), core::host_id("entry"), core::incarnation{3},
        core::host_id("agent"), acceptor.local_endpoint(), 1);

    core::task<void> accept()
    {
        while (acceptor.is_open()) {
            boost::system::error_code failure;
            asio::ip::tcp::socket socket =
                co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
            if (failure) {
                co_return;
            }
            connections.push_back(std::make_shared<wire::framed_connection>(std::move(socket)));
            core::spawn(context.get_executor(), serve(connections.back()));
        }
    }
    core::task<void> serve(std::shared_ptr<wire::framed_connection> connection)
    {
        const core::result<std::string> first = co_await connection->receive();
        const core::result<hello> h = wire::decode<hello>(first.value());
        co_await server.serve(connection, h.value());
    }
    template <class Script>
    void run(Script script)
    {
        core::spawn(context.get_executor(), accept());
        core::spawn(context.get_executor(), link->run());
        asio::co_spawn(context, script(*this), [this](std::exception_ptr failure) {
            CHECK(failure == nullptr);
            link->stop();
            acceptor.close();
            context.stop();
        });
        context.run_for(std::chrono::seconds(30));
    }
    core::task<void> connected()
    {
        while (!link->connected()) {
            co_await core::sleep_for(std::chrono::milliseconds(1));
        }
    }
};

start_work generation(const std::string& body)
{
    start_work work;
    work.body = body;
    work.window = 4;
    return work;
}

} // namespace

TEST_GROUP(links){};

TEST(links, complete_answer_arrives_in_order_under_credit)
{
    loopback_pair pair;
    std::uint64_t received = 0;
    std::optional<work_end> end;
    pair.run([&received, &end](loopback_pair& p) -> core::task<void> {
        co_await p.connected();
        start_work work = generation("50");
        core::result<std::shared_ptr<attempt_channel>> channel = p.link->start(work);
        const core::time_point deadline = core::runtime_clock::now() + std::chrono::seconds(10);
        while (!end) {
            std::optional<attempt_event> event = co_await channel.value()->next(deadline);
            if (const token* t = std::get_if<token>(&*event)) {
                CHECK(t->offset == received);
                ++received;
                p.link->credit(t->number, 1);
            }
            else {
                end = std::get<work_end>(*event);
            }
        }
    });
    LONGS_EQUAL(50, received);
    CHECK(end->state == end_state::finished);
}

TEST(links, new_session_after_a_cut_reports_the_state_of_the_attempt)
{
    loopback_pair pair;
    std::optional<attempt_conclusion> conclusion;
    pair.run([&conclusion](loopback_pair& p) -> core::task<void> {
        co_await p.connected();
        start_work work = generation("hang");
        core::result<std::shared_ptr<attempt_channel>> channel = p.link->start(work);
        while (p.endpoint.started == 0) {
            co_await core::sleep_for(std::chrono::milliseconds(1));
        }
        p.connections.back()->close();
        const core::time_point deadline = core::runtime_clock::now() + std::chrono::seconds(10);
        while (!conclusion) {
            std::optional<attempt_event> event = co_await channel.value()->next(deadline);
            if (const attempt_conclusion* v = std::get_if<attempt_conclusion>(&*event)) {
                conclusion = *v;
            }
        }
    });
    CHECK(conclusion->kind == conclusion_kind::fenced ||
          conclusion->kind == conclusion_kind::ended);
}

TEST(links, status_of_an_attempt_can_be_queried)
{
    loopback_pair pair;
    std::optional<resolution> absent;
    std::optional<resolution> running;
    pair.run([&absent, &running](loopback_pair& p) -> core::task<void> {
        co_await p.connected();
        start_work work = generation("hang");
        core::result<std::shared_ptr<attempt_channel>> channel = p.link->start(work);
        const core::time_point deadline = core::runtime_clock::now() + std::chrono::seconds(10);
        attempt_identity id = channel.value()->identity();
        core::result<resolution> answer = co_await p.link->resolve_attempt(id, deadline);
        running = answer.value();
        id.number = core::attempt_number{77};
        answer = co_await p.link->resolve_attempt(id, deadline);
        absent = answer.value();
    });
    CHECK(running->status == attempt_status::running);
    CHECK(absent->status == attempt_status::never_started);
}
