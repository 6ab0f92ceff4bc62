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
    asio::ip::tcp::endpoint place;

    void setup() override
    {
        // A port that is free now; nobody else takes it in the time of a test.
        asio::ip::tcp::acceptor probe(
            context, asio::ip::tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
        place = probe.local_endpoint();
        probe.close();
        proxy =
            std::make_unique<fault_proxy>(context.get_executor(), place, server.local_endpoint());
        core::spawn(context.get_executor(), proxy->run());
        core::spawn(context.get_executor(), echo());
    }
    core::task<void> echo()
    {
        while (true) {
            asio::ip::tcp::socket s = co_await server.async_accept(asio::use_awaitable);
            core::spawn(context.get_executor(), [](asio::ip::tcp::socket c) -> core::task<void> {
                std::array<char, 100> piece{};
                error_code failure;
                while (!failure) {
                    const std::size_t n = co_await c.async_read_some(
                        asio::buffer(piece), asio::redirect_error(asio::use_awaitable, failure));
                    if (!failure) {
                        co_await asio::async_write(
                            c, asio::buffer(piece.data(), n),
                            asio::redirect_error(asio::use_awaitable, failure));
                    }
                }
            }(std::move(s)));
        }
    }
    core::task<asio::ip::tcp::socket> connect()
    {
        asio::ip::tcp::socket s(context);
        co_await s.async_connect(place, asio::use_awaitable);
        co_return s;
    }
    /// What comes back for a word within a time; "none" when nothing does, "reset" after a reset.
    static core::task<std::string> say(asio::ip::tcp::socket & s, const std::string& word,
                                       std::chrono::milliseconds timeout)
    {
        error_code failure;
        co_await asio::async_write(s, asio::buffer(word),
                                   asio::redirect_error(asio::use_awaitable, failure));
        std::array<char, 100> piece{};
        using namespace asio::experimental::awaitable_operators;
        std::variant<std::size_t, std::monostate> first =
            co_await (s.async_read_some(asio::buffer(piece),
                                        asio::redirect_error(asio::use_awaitable, failure)) ||
                      core::sleep_for(timeout));
        if (first.index() == 1) {
            co_return "none";
        }
        co_return failure ? "reset" : std::string(piece.data(), std::get<0>(first));
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

TEST(fault_proxies, a_sound_link_passes_everything_on)
{
    run([&]() -> core::task<void> {
        asio::ip::tcp::socket s = co_await connect();
        const std::string back = co_await say(s, "word", 1s);
        STRCMP_EQUAL("word", back.c_str());
    });
}

TEST(fault_proxies, a_cut_link_holds_data_until_it_is_well)
{
    run([&]() -> core::task<void> {
        asio::ip::tcp::socket s = co_await connect();
        proxy->set({.cut_down = true});
        const std::string held = co_await say(s, "word", 50ms);
        STRCMP_EQUAL("none", held.c_str());
        proxy->set({});
        const std::string back = co_await say(s, "", 1s);
        STRCMP_EQUAL("word", back.c_str());
    });
}

TEST(fault_proxies, a_silent_connection_stays_silent_while_new_ones_work)
{
    run([&]() -> core::task<void> {
        asio::ip::tcp::socket s = co_await connect();
        co_await say(s, "word", 1s);
        proxy->silence_all();
        const std::string silent = co_await say(s, "word", 50ms);
        STRCMP_EQUAL("none", silent.c_str());
        asio::ip::tcp::socket other = co_await connect();
        const std::string back = co_await say(other, "word", 1s);
        STRCMP_EQUAL("word", back.c_str());
    });
}

TEST(fault_proxies, resets_and_refusals_reach_the_client)
{
    run([&]() -> core::task<void> {
        asio::ip::tcp::socket s = co_await connect();
        co_await say(s, "word", 1s);
        proxy->reset_all();
        const std::string gone = co_await say(s, "word", 1s);
        STRCMP_EQUAL("reset", gone.c_str());
        proxy->set({.refuses = true});
        asio::ip::tcp::socket other = co_await connect();
        const std::string refused = co_await say(other, "word", 1s);
        STRCMP_EQUAL("reset", refused.c_str());
    });
}

TEST(fault_proxies, foreign_bytes_reach_the_client)
{
    run([&]() -> core::task<void> {
        asio::ip::tcp::socket s = co_await connect();
        co_await say(s, "word", 1s);
        proxy->inject_all("spam");
        const std::string spam = co_await say(s, "", 1s);
        STRCMP_EQUAL("spam", spam.c_str());
    });
}

TEST_GROUP(fault_scripts){};

TEST(fault_scripts, a_seed_gives_one_script_with_every_kind_over_time)
{
    const std::vector<planned_fault> one = make_script(7, 60s);
    const std::vector<planned_fault> same = make_script(7, 60s);
    LONGS_EQUAL(one.size(), same.size());
    std::set<fault_kind> seen;
    for (std::uint64_t seed = 1; seed < 20; ++seed) {
        for (const planned_fault& f : make_script(seed, 60s)) {
            seen.insert(f.kind);
            CHECK(f.at + f.lasts <= 60s);
        }
    }
    LONGS_EQUAL(static_cast<int>(fault_kind::last) + 1, seen.size());
}
