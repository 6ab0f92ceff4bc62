#include "gateway/partreportexchange.h"

#include "core/eventlog.h"
#include "wire/unpacker.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;
namespace asio = core::asio;

namespace {

const core::service_id tutor("tutor");
const std::vector<core::prompt_part_id> bad{core::prompt_part_id("bad")};

// The part of an entry that exchanges reports with its peers.
struct entry_process {
    entry_process(asio::io_context& io, const std::string& name)
        : context(io.get_executor(), core::failure_domain_id("fd"), proxy::proxy_bounds{}, 1),
          hub(std::make_shared<membership::peer_hub>(
              io.get_executor(),
              membership::peer_hello{core::host_id(name), core::failure_domain_id("fd"),
                                     core::incarnation{1}})),
          exchange(context, *hub),
          acceptor(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        hub->on_peer_up = [this](const membership::peer_hello& h) {
            exchange.on_peer_up(h.host);
        };
        hub->on_peer_down = [](const membership::peer_hello&) {
        };
        hub->on_heartbeat = [](const membership::peer_hello&, const membership::peer_heartbeat&) {
        };
        hub->on_message = [this](const core::host_id& peer, std::uint8_t,
                                 const std::string& payload) {
            exchange.on_report(peer, payload);
        };
        core::spawn(io.get_executor(), accept());
    }
    core::task<void> accept()
    {
        asio::ip::tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::shared_ptr<wire::framed_connection> connection =
            std::make_shared<wire::framed_connection>(std::move(socket));
        const core::result<std::string> frame = co_await connection->receive();
        const core::result<membership::peer_hello> hello =
            wire::decode<membership::peer_hello>(frame.value());
        co_await hub->serve(connection, hello.value());
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
        guard().on_crash("id", c);
    }

    proxy::proxy_context context;
    std::shared_ptr<membership::peer_hub> hub;
    gateway::part_report_exchange exchange;
    asio::ip::tcp::acceptor acceptor;
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
    void connect()
    {
        a.hub->set_targets({{core::host_id("b"), b.acceptor.local_endpoint()}});
        run_until([this] { return !a.hub->connected().empty() && !b.hub->connected().empty(); });
    }
    void run_until(const std::function<bool()>& reached)
    {
        for (int i = 0; i < 1000 && !reached(); ++i) {
            io.restart();
            io.run_for(5ms);
        }
        CHECK(reached());
    }
};

TEST(part_report_exchanges, crash_is_known_at_a_connected_peer)
{
    connect();
    a.crash(1);
    run_until([this] { return b.guard().refuses(bad); });
}

TEST(part_report_exchanges, crash_is_told_to_a_peer_that_connects_later)
{
    b.crash(1);
    CHECK(!a.guard().refuses(bad));
    connect();
    run_until([this] { return a.guard().refuses(bad); });
}

TEST(part_report_exchanges, malformed_report_is_ignored)
{
    a.exchange.on_report(core::host_id("b"), "text");
    CHECK(!a.guard().refuses(bad));
}
