#include "hubprocess.h"

#include "core/eventlog.h"
#include "core/timer.h"
#include "gateway/signalexchange.h"
#include "wire/packer.h"

using namespace currantpitch;
using namespace currantpitch::testing;
using namespace std::chrono_literals;
namespace asio = core::asio;

namespace {

const core::service_id desk("desk");
const core::endpoint_id limited("i-limited");
const core::endpoint_id other("i-other");

// The part of an entry that shares limits with its peers.
struct entry_process {
    entry_process(asio::io_context& io, const std::string& name)
        : context(io.get_executor(), core::failure_domain_id("fd"), proxy::proxy_bounds{}, 1),
          process(io, name), exchange(core::host_id(name), context, *process.hub)
    {
        process.hub->on_peer_up = [this](const membership::peer_hello& h) {
            exchange.on_peer_up(h.host);
        };
        process.hub->on_peer_down = [this](const membership::peer_hello& h) {
            exchange.on_peer_down(h.host);
        };
        process.hub->on_message = [this](const core::host_id& peer, std::uint8_t type,
                                         const std::string& payload) {
            CHECK(exchange.on_message(peer, type, payload));
        };
        exchange.set_registered({core::host_id("a"), core::host_id("b")});
        for (const core::endpoint_id& endpoint : {limited, other}) {
            directory::endpoint_record record;
            record.endpoint = endpoint;
            record.service = desk;
            record.failure_domain = core::failure_domain_id("fd");
            record.concurrency = 1000;
            record.incarnation = core::incarnation{1};
            context.endpoints.apply(record);
        }
        context.apply_endpoints();
    }
    /// Passes on an answer of the limited endpoint.
    void answer(std::optional<double> limit)
    {
        context.on_endpoint_signal(
            {limited, core::incarnation{1}, limit, false, {}, core::runtime_clock::now()}, "id");
    }
    bool knows_limit() const { return context.signals.request_limit(limited).has_value(); }
    /// Sends a request, which counts in sent if it goes to the limited endpoint.
    core::task<void> send_request()
    {
        dispatch::dispatch_request request;
        request.arrived = core::runtime_clock::now();
        request.deadline = request.arrived + 100ms;
        const core::result<dispatch::work_queue::slot> slot =
            co_await context.service(desk).queue.acquire_slot(request);
        sent += slot && slot.value().endpoint() == limited ? 1 : 0;
    }

    int sent = 0;
    proxy::proxy_context context;
    hub_process process;
    gateway::signal_exchange exchange;
};

} // namespace

TEST_GROUP(signal_exchanges)
{
    asio::io_context io{1};
    entry_process a{io, "a"};
    entry_process b{io, "b"};

    void setup() override
    {
        core::silence_log();
    }
    void connect_both()
    {
        connect(io, a.process, b.process, core::host_id("b"));
    }
    void run_for(std::chrono::milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }
};

TEST(signal_exchanges, limit_is_known_at_a_connected_peer_until_it_ends)
{
    connect_both();
    a.answer(2);
    run_until(io, [this] { return b.knows_limit(); });
    run_for(5ms);
    b.answer(std::nullopt);
    CHECK(!b.knows_limit());
    run_until(io, [this] { return !a.knows_limit(); });
}

TEST(signal_exchanges, limit_is_told_to_a_peer_that_connects_later)
{
    a.answer(2);
    connect_both();
    run_until(io, [this] { return b.knows_limit(); });
}

// Every entry sent a limited endpoint as many requests as the other endpoints.
TEST(signal_exchanges, entries_send_a_limited_endpoint_more_than_its_limit_together)
{
    connect_both();
    a.answer(10);
    run_until(io, [this] { return b.knows_limit(); });
    const core::time_point began = core::runtime_clock::now();
    while (core::runtime_clock::now() - began < 2s) {
        core::spawn(io.get_executor(), a.send_request());
        core::spawn(io.get_executor(), b.send_request());
        run_for(5ms);
    }
    run_for(200ms);
    const double seconds =
        std::chrono::duration<double>(core::runtime_clock::now() - began).count();
    CHECK(a.sent + b.sent <= 1.5 * 10 * seconds + 5);
    CHECK(a.sent + b.sent > 0);
}

TEST(signal_exchanges, malformed_messages_are_ignored)
{
    for (const std::uint8_t type :
         {backpressure::signal_report_type, backpressure::permit_request_type,
          backpressure::permit_offer_type}) {
        CHECK(a.exchange.on_message(core::host_id("b"), type, "text"));
    }
    a.exchange.on_message(core::host_id("b"), backpressure::signal_report_type,
                          wire::encode(backpressure::signal_report{
                              {{limited, core::incarnation{1},
                                std::numeric_limits<double>::quiet_NaN(), false, 0ms}}}));
    CHECK(!a.knows_limit());
    a.exchange.on_message(
        core::host_id("b"), backpressure::permit_request_type,
        wire::encode(backpressure::permit_request{
            limited, std::numeric_limits<double>::infinity(), 0ms, {}, 0ms, 0, false}));
}

TEST(signal_exchanges, endpoint_that_leaves_gets_requests_of_other_entries)
{
    connect_both();
    a.context.on_endpoint_signal(
        {limited, core::incarnation{1}, std::nullopt, true, {}, core::runtime_clock::now()}, "id");
    run_until(io, [this] { return b.context.signals.leaving(limited); });
}

TEST_GROUP_BASE(cold_exchanges,
                TEST_GROUP_CppUTestGroupsignal_exchanges){void setup() override{core::silence_log();
for (entry_process* const p : {&a, &b}) {
    p->context.bounds.cold_start = backpressure::cold_bounds{1.5, 5};
    p->exchange.apply_bounds();
}
}
static void report_cold(entry_process& p, std::chrono::milliseconds left)
{
    backpressure::reported_signal report;
    report.endpoint = limited;
    report.incarnation = core::incarnation{1};
    report.cold_for = left;
    report.cold_per_second = 17;
    p.context.on_cold_report(report, core::host_id("b"));
}
static bool knows_cold(const entry_process& p)
{
    return p.context.signals.cold(limited, core::runtime_clock::now());
}
}
;

// An entry that cannot read the store sent a cold endpoint as many requests as the others.
TEST(cold_exchanges, entry_learns_of_a_cold_endpoint_from_the_store_alone)
{
    connect_both();
    report_cold(a, 3000ms);
    // Known to the owner of its permits, by itself or by the request for one.
    core::spawn(io.get_executor(), a.send_request());
    core::spawn(io.get_executor(), a.send_request());
    for (int i = 0; i < 20; ++i) {
        a.context.signals.request_permit(limited, 30ms, core::runtime_clock::now());
        run_for(5ms);
    }
    run_until(io, [this] { return knows_cold(b); });
}

TEST(cold_exchanges, peer_that_connects_later_does_not_learn_of_a_cold_endpoint)
{
    report_cold(a, 3000ms);
    a.answer(2);
    connect_both();
    run_until(io, [this] { return knows_cold(b) && b.knows_limit(); });
    // News of the cold time alone does not end the limit.
    backpressure::reported_signal report;
    report.endpoint = limited;
    report.incarnation = core::incarnation{1};
    report.cold_for = 5000ms;
    report.cold_per_second = 17;
    b.exchange.on_message(core::host_id("a"), backpressure::signal_report_type,
                          wire::encode(backpressure::signal_report{{report}}));
    CHECK(b.knows_limit());
}

TEST(cold_exchanges, cold_endpoint_is_limited_without_the_setting)
{
    a.context.bounds.cold_start.reset();
    report_cold(a, 3000ms);
    CHECK(!knows_cold(a));
    directory::endpoint_record record = *a.context.endpoints.find(limited);
    record.cold_time_left = 3000ms;
    a.context.endpoints.apply(record);
    a.context.cold_times.on_registered(record, core::revision{1}, core::runtime_clock::now());
    a.context.apply_endpoints();
    CHECK(!knows_cold(a));
    CHECK(a.context.signals.admits(limited, core::runtime_clock::now()));
}
