#include "hubprocess.h"

#include "core/eventlog.h"
#include "gateway/evidenceexchange.h"

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
        process.hub->on_message = [this](const core::host_id& peer, std::uint8_t type,
                                         const std::string& payload) {
            exchange.on_message(peer, type, payload);
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
        guard().on_crash(c);
    }
    proxy::request_guard& requests() { return context.requests; }
    void crash_under(const admission::fingerprint& request, std::uint64_t incarnation)
    {
        requests().on_crash({request, core::workspace_id("w"), core::endpoint_id("e"),
                             core::failure_domain_id("fd"), core::incarnation{incarnation}, false,
                             core::runtime_clock::now()});
    }

    proxy::proxy_context context;
    hub_process process;
    gateway::evidence_exchange exchange;
};

} // namespace

TEST_GROUP(evidence_exchanges)
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

TEST(evidence_exchanges, crash_is_known_at_a_connected_peer)
{
    connect_both();
    a.crash(1);
    run_until(io, [this] { return b.guard().refuses(bad); });
}

TEST(evidence_exchanges, crash_is_told_to_a_peer_that_connects_later)
{
    b.crash(1);
    CHECK(!a.guard().refuses(bad));
    connect_both();
    run_until(io, [this] { return a.guard().refuses(bad); });
}

// The second crash is seen through another entry than the first.
TEST(evidence_exchanges, crashes_under_a_request_count_over_all_entries)
{
    connect_both();
    const admission::fingerprint deadly("deadly");
    a.crash_under(deadly, 1);
    CHECK(!b.requests().refuses(deadly));
    b.crash_under(deadly, 2);
    run_until(io, [this, &deadly] {
        return a.requests().refuses(deadly) && b.requests().refuses(deadly);
    });
}

TEST(evidence_exchanges, crashes_under_a_request_are_told_to_a_peer_that_connects_later)
{
    const admission::fingerprint deadly("deadly");
    b.crash_under(deadly, 1);
    b.crash_under(deadly, 2);
    connect_both();
    run_until(io, [this, &deadly] { return a.requests().refuses(deadly); });
}

TEST(evidence_exchanges, malformed_report_is_ignored)
{
    CHECK(a.exchange.on_message(core::host_id("b"), admission::part_report_type, "text"));
    CHECK(a.exchange.on_message(core::host_id("b"), admission::suspicion_report_type, "text"));
    CHECK(!a.guard().refuses(bad));
    LONGS_EQUAL(0, a.requests().crash_count(admission::fingerprint("deadly")));
}
