#include "hubprocess.h"

#include "core/eventlog.h"
#include "gateway/partreportexchange.h"

using namespace currantpitch;
using namespace currantpitch::testing;
using namespace std::chrono_literals;
namespace asio = core::asio;

namespace {

const core::service_id tutor("tutor");
const std::vector<core::prompt_part_id> bad{core::prompt_part_id("bad")};

// The part of an entry that exchanges reports with its peers.
struct entry_process {
    entry_process(asio::io_context& io, const std::string& name)
        : context(io.get_executor(), core::failure_domain_id("fd"), proxy::proxy_bounds{}, 1),
          process(io, name), exchange(context, *process.hub)
    {
        process.hub->on_peer_up = [this](const membership::peer_hello& h) {
            exchange.on_peer_up(h.host);
        };
        process.hub->on_message = [this](const core::host_id& peer, std::uint8_t,
                                         const std::string& payload) {
            exchange.on_report(peer, payload);
        };
    }
    proxy::part_guard& guard() { return context.service(tutor).guard; }
    void crash(std::uint64_t incarnation)
    {
        admission::part_crash c;
        c.parts = bad;
        c.endpoint = core::endpoint_id("e");
        c.endpoint_incarnation = core::incarnation{incarnation};
        c.answer_begun = true;
        c.at = core::runtime_clock::now();
        guard().on_crash("id", admission::fingerprint("f"), c);
    }

    proxy::proxy_context context;
    hub_process process;
    gateway::part_report_exchange exchange;
};

} // namespace

TEST_GROUP(part_report_exchanges)
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
};

TEST(part_report_exchanges, crash_is_known_at_a_connected_peer)
{
    connect_both();
    a.crash(1);
    run_until(io, [this] { return b.guard().refuses(bad); });
}

TEST(part_report_exchanges, crash_is_told_to_a_peer_that_connects_later)
{
    b.crash(1);
    CHECK(!a.guard().refuses(bad));
    connect_both();
    run_until(io, [this] { return a.guard().refuses(bad); });
}

TEST(part_report_exchanges, malformed_report_is_ignored)
{
    a.exchange.on_report(core::host_id("b"), "text");
    CHECK(!a.guard().refuses(bad));
}
