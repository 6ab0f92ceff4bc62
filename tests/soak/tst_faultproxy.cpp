#include "soak/faultproxy.h"
#include "soak/faultscript.h"

#include "core/timer.h"

#include "CppUTest/TestHarness.h"

#include <array>
#include <set>

using namespace currantpitch;
using namespace currantpitch::soak;
using namespace std::chrono_literals;
namespace asio = core::asio;
using boost::system::error_code;

TEST_GROUP(fault_proxies)
{
    asio::io_context context{1};
    asio::ip::tcp::acceptor server{
        context, asio::ip::tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0)};
    std::unique_ptr<fault_proxy> proxy;
    asio::ip::tcp::endpoint proxy_endpoint;

    void setup() override
    {
        // Finds a free port. It is not expected to be reused during a test.
        asio::ip::tcp::acceptor probe(
            context, asio::ip::tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
        proxy_endpoint = probe.local_endpoint();
        probe.close();
        proxy = std::make_unique<fault_proxy>(context.get_executor(), proxy_endpoint,
                                              server.local_endpoint());
        core::spawn(context.get_executor(), proxy->run());
        core::spawn(context.get_executor(), echo());
    }
    core::task<void> echo()
    {
        while (true) {
            asio::ip::tcp::socket s = co_await server.async_accept(asio::use_awaitable);
            core::spawn(context.get_executor(), [](asio::ip::tcp::socket c) -> core::task<void> {
                std::array<char, 100> chunk{};
                error_code failure;
                while (!failure) {
                    const std::size_t n = co_await c.async_read_some(
                        asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, failure));
                    if (!failure) {
                        co_await asio::async_write(
                            c, asio::buffer(chunk.data(), n),
                            asio::redirect_error(asio::use_awaitable, failure));
                    }
                }
            }(std::move(s)));
        }
    }
    core::task<asio::ip::tcp::socket> connect()
    {
        asio::ip::tcp::socket s(context);
        co_await s.async_connect(proxy_endpoint, asio::use_awaitable);
        co_return s;
    }
    /// Sends the bytes and returns what is received within the timeout, "none" if nothing is, or
    /// "reset" if the connection was reset.
    static core::task<std::string> send_and_receive(
        asio::ip::tcp::socket & s, const std::string& bytes, std::chrono::milliseconds timeout)
    {
        error_code failure;
        co_await asio::async_write(s, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, failure));
        std::array<char, 100> chunk{};
        using namespace asio::experimental::awaitable_operators;
        std::variant<std::size_t, std::monostate> first =
            co_await (s.async_read_some(asio::buffer(chunk),
                                        asio::redirect_error(asio::use_awaitable, failure)) ||
                      core::sleep_for(timeout));
        if (first.index() == 1) {
            co_return "none";
        }
        co_return failure ? "reset" : std::string(chunk.data(), std::get<0>(first));
    }
    template <class Script>
    void run(Script script)
    {
        bool ended = false;
        core::spawn_then(
            context.get_executor(),
            [](Script s) -> core::task<bool> {
                co_await s();
                co_return true;
            }(std::move(script)),
            [&](bool) {
                ended = true;
                context.stop();
            });
        context.run_for(10s);
        CHECK(ended);
    }
};

TEST(fault_proxies, a_healthy_link_relays_everything)
{
    run([&]() -> core::task<void> {
        asio::ip::tcp::socket s = co_await connect();
        const std::string reply = co_await send_and_receive(s, "word", 1s);
        STRCMP_EQUAL("word", reply.c_str());
    });
}

TEST(fault_proxies, a_cut_link_delays_data_until_it_recovers)
{
    run([&]() -> core::task<void> {
        asio::ip::tcp::socket s = co_await connect();
        proxy->set_faults({.cut_down = true});
        const std::string reply_while_cut = co_await send_and_receive(s, "word", 50ms);
        STRCMP_EQUAL("none", reply_while_cut.c_str());
        proxy->set_faults({});
        const std::string reply = co_await send_and_receive(s, "", 1s);
        STRCMP_EQUAL("word", reply.c_str());
    });
}

TEST(fault_proxies, a_silent_connection_stays_silent_while_new_ones_work)
{
    run([&]() -> core::task<void> {
        asio::ip::tcp::socket s = co_await connect();
        co_await send_and_receive(s, "word", 1s);
        proxy->silence_all();
        const std::string reply_while_silent = co_await send_and_receive(s, "word", 50ms);
        STRCMP_EQUAL("none", reply_while_silent.c_str());
        asio::ip::tcp::socket other = co_await connect();
        const std::string reply = co_await send_and_receive(other, "word", 1s);
        STRCMP_EQUAL("word", reply.c_str());
    });
}

TEST(fault_proxies, resets_and_refusals_reach_the_client)
{
    run([&]() -> core::task<void> {
        asio::ip::tcp::socket s = co_await connect();
        co_await send_and_receive(s, "word", 1s);
        proxy->reset_all();
        const std::string reply_after_reset = co_await send_and_receive(s, "word", 1s);
        STRCMP_EQUAL("reset", reply_after_reset.c_str());
        proxy->set_faults({.refuses = true});
        asio::ip::tcp::socket other = co_await connect();
        const std::string reply_when_refused = co_await send_and_receive(other, "word", 1s);
        STRCMP_EQUAL("reset", reply_when_refused.c_str());
    });
}

TEST(fault_proxies, nobody_listens_while_the_server_is_gone)
{
    run([&]() -> core::task<void> {
        proxy->set_faults({.gone = true});
        asio::ip::tcp::socket s(context);
        error_code failure;
        co_await s.async_connect(proxy_endpoint,
                                 asio::redirect_error(asio::use_awaitable, failure));
        CHECK(failure == asio::error::connection_refused);
        proxy->set_faults({});
        asio::ip::tcp::socket other = co_await connect();
        const std::string reply = co_await send_and_receive(other, "word", 1s);
        STRCMP_EQUAL("word", reply.c_str());
    });
}

TEST(fault_proxies, injected_bytes_reach_the_client)
{
    run([&]() -> core::task<void> {
        asio::ip::tcp::socket s = co_await connect();
        co_await send_and_receive(s, "word", 1s);
        proxy->inject_all("spam");
        const std::string injected = co_await send_and_receive(s, "", 1s);
        STRCMP_EQUAL("spam", injected.c_str());
    });
}

TEST_GROUP(fault_scripts){};

TEST(fault_scripts, a_seed_gives_one_script_and_all_seeds_give_every_kind)
{
    const std::vector<planned_fault> script = make_fault_script(7, 60s);
    const std::vector<planned_fault> repeated_script = make_fault_script(7, 60s);
    LONGS_EQUAL(script.size(), repeated_script.size());
    std::set<fault_kind> seen;
    for (std::uint64_t seed = 1; seed < 20; ++seed) {
        for (const planned_fault& f : make_fault_script(seed, 60s)) {
            seen.insert(f.kind);
            CHECK(f.at + f.duration <= 60s);
        }
    }
    LONGS_EQUAL(static_cast<int>(fault_kind::last) + 1, seen.size());
}
