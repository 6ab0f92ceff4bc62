#include "expertmaps/groupcoordinator.h"
#include "fakes/enginegroup.h"
#include "fakes/memorystore.h"

#include <boost/json.hpp>

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::expertmaps;
using namespace std::chrono_literals;
namespace asio = core::asio;

namespace {

constexpr std::uint32_t rank_count = 3;
constexpr std::uint32_t expert_count = 6;

// Passes the orders of one rank directly to the fake group.
struct direct_engine {
    fakes::engine_group* group = nullptr;
    std::uint32_t rank = 0;

    core::task<core::result<void>> order(rank_order o, core::time_point)
    {
        static const char* const names[] = {"query",  "stage", "prepare",
                                            "commit", "abort", "adopt"};
        boost::json::object body{{"order", names[static_cast<std::size_t>(o.kind)]},
                                 {"fence", o.proposal.fence.value},
                                 {"version", o.version.value},
                                 {"step", o.step.value}};
        if (o.committed) {
            body["next_version"] = o.committed->version.value;
            body["next_step"] = o.committed->step.value;
        }
        const std::pair<unsigned, std::string> outcome =
            group->order(rank, boost::json::serialize(body));
        if (outcome.first != 200) {
            co_return core::error{core::errc::refused, outcome.second};
        }
        co_return core::ok();
    }
};

using coordinator_type = group_coordinator<fakes::memory_store, direct_engine>;

struct rank_process {
    rank_process(asio::io_context& context, fakes::memory_store& store, fakes::engine_group& group,
                 std::uint32_t rank)
        : acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          engine{&group, rank},
          coordinator(context.get_executor(), store, engine,
                      core::host_id("h" + std::to_string(rank)), core::incarnation{rank + 1},
                      coordinator_timing{300ms, 50ms, 20ms, 1200ms})
    {
    }
    asio::ip::tcp::acceptor acceptor;
    direct_engine engine;
    coordinator_type coordinator;
    bool stopped = false;
};

struct group_fixture {
    asio::io_context context{1};
    fakes::memory_store store{context.get_executor()};
    fakes::engine_group group{context.get_executor(),
                              fakes::engine_group_options{
                                  .ranks = rank_count, .experts = expert_count, .step_time = 2ms}};
    std::vector<std::unique_ptr<rank_process>> ranks;

    group_fixture()
    {
        group_configuration configuration;
        configuration.group = core::service_id("g");
        configuration.options.shape = {rank_count, expert_count, 3};
        configuration.options.skew_weight = 10;
        configuration.options.replica_bytes = 1e6;
        for (std::uint32_t i = 0; i < rank_count; ++i) {
            ranks.push_back(std::make_unique<rank_process>(context, store, group, i));
            configuration.members.push_back({i, core::host_id("h" + std::to_string(i)),
                                             ranks.back()->acceptor.local_endpoint()});
        }
        core::spawn(context.get_executor(), group.run_steps());
        for (const std::unique_ptr<rank_process>& r : ranks) {
            core::spawn(context.get_executor(), accept(*r));
            core::spawn(context.get_executor(), poll(*r));
            // An engine may report before the configuration has assigned its rank.
            rank_status early;
            early.incarnation = core::incarnation{group.ranks[r->engine.rank].incarnation};
            early.active = core::map_version{1};
            r->coordinator.on_status(early);
            r->coordinator.configure(configuration);
            core::spawn(context.get_executor(), r->coordinator.run());
        }
    }
    core::task<void> accept(rank_process& r)
    {
        while (r.acceptor.is_open()) {
            boost::system::error_code failure;
            asio::ip::tcp::socket socket = co_await r.acceptor.async_accept(
                asio::redirect_error(asio::use_awaitable, failure));
            if (failure) {
                co_return;
            }
            core::spawn(context.get_executor(),
                        serve(r, std::make_shared<wire::framed_connection>(std::move(socket))));
        }
    }
    core::task<void> serve(rank_process& r, std::shared_ptr<wire::framed_connection> connection)
    {
        const core::result<std::string> first = co_await connection->receive();
        const core::result<group_hello> h = first ? wire::decode<group_hello>(first.value())
                                                  : core::result<group_hello>(core::error{});
        if (h) {
            co_await r.coordinator.serve(connection, h.value());
        }
    }
    // Simulates the agent's polling of the engine. Most tokens are routed to one expert.
    core::task<void> poll(rank_process& r)
    {
        while (!r.stopped) {
            fakes::engine_rank& rank = group.ranks[r.engine.rank];
            if (core::runtime_clock::now() >= rank.down_until) {
                for (std::size_t e = 0; e < expert_count; ++e) {
                    rank.expert_tokens[e] += e == 0 ? 1000 : 100;
                }
                rank_status status;
                status.incarnation = core::incarnation{rank.incarnation};
                status.step = core::step_number{group.step};
                status.active = core::map_version{rank.active_map};
                status.fresh = rank.fresh;
                if (rank.prepared) {
                    status.prepared = prepared_switch{{},
                                                      core::map_version{rank.prepared->version},
                                                      core::step_number{rank.prepared->step}};
                    status.committed = rank.prepared->committed;
                }
                status.expert_tokens = rank.expert_tokens;
                status.step_time = 1ms;
                r.coordinator.on_status(status);
            }
            co_await core::sleep_for(10ms);
        }
    }
    // Stops the agent immediately. Its connections are closed and its address refuses new ones.
    void stop_agent(std::uint32_t rank)
    {
        ranks[rank]->stopped = true;
        ranks[rank]->coordinator.stop();
        ranks[rank]->acceptor.close();
    }
    template <class Condition>
    bool run_until(Condition condition)
    {
        bool met = false;
        core::spawn(context.get_executor(),
                    [](group_fixture& f, Condition c, bool& done) -> core::task<void> {
                        while (!c()) {
                            co_await core::sleep_for(5ms);
                        }
                        done = true;
                        f.context.stop();
                    }(*this, condition, met));
        context.restart();
        context.run_for(30s);
        return met;
    }
    std::uint64_t active(std::uint32_t rank) const { return group.ranks[rank].active_map; }
};

} // namespace

TEST_GROUP(coordinators){};

TEST(coordinators, skewed_popularity_triggers_a_switch)
{
    group_fixture fixture;
    CHECK(fixture.run_until([&fixture] { return fixture.active(0) > 1 && fixture.active(2) > 1; }));
    CHECK(fixture.ranks[0]->coordinator.is_leader());
    LONGS_EQUAL(0, fixture.group.mismatched_steps);
    // Leadership is claimed by one conditional write and needs no renewal.
    LONGS_EQUAL(1, fixture.store.last().value);
}

TEST(coordinators, next_candidate_takes_over_from_a_stopped_leader)
{
    group_fixture fixture;
    CHECK(fixture.run_until([&fixture] { return fixture.ranks[0]->coordinator.is_leader(); }));
    fixture.stop_agent(0);
    CHECK(fixture.run_until([&fixture] { return fixture.ranks[1]->coordinator.is_leader(); }));
    LONGS_EQUAL(2, fixture.store.last().value);
    LONGS_EQUAL(0, fixture.group.mismatched_steps);
}

TEST(coordinators, rank_that_lost_its_state_is_restored)
{
    group_fixture fixture;
    CHECK(fixture.run_until([&fixture] { return fixture.active(0) > 1; }));
    fixture.group.kill(1);
    const std::uint64_t step = fixture.group.step;
    CHECK(fixture.run_until([&fixture, step] { return fixture.group.step > step + 50; }));
    LONGS_EQUAL(fixture.active(0), fixture.active(1));
    LONGS_EQUAL(0, fixture.group.mismatched_steps);
}

TEST(coordinators, store_outage_keeps_the_map_and_serving_continues)
{
    group_fixture fixture;
    fixture.store.faults.unavailable = true;
    CHECK(fixture.run_until([&fixture] { return fixture.group.step > 300; }));
    LONGS_EQUAL(1, fixture.active(0));
    CHECK(!fixture.ranks[0]->coordinator.is_leader());
    LONGS_EQUAL(0, fixture.group.stalled_steps);
}
