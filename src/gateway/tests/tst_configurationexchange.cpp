#include "hubprocess.h"

#include "core/eventlog.h"
#include "gateway/configurationexchange.h"
#include "gateway/gatewayconstants.h"

using namespace currantpitch;
using namespace currantpitch::testing;

namespace {

// The text of a configuration is its version.
struct plain_holder {
    routes::configuration_version in_force;

    routes::configuration_version version() const { return in_force; }
    std::string text() const { return std::to_string(in_force.value); }
    void apply_copy(const std::string& text, const core::host_id&)
    {
        in_force.value = std::max<std::uint64_t>(in_force.value, std::stoull(text));
    }
};

struct entry_process {
    entry_process(core::asio::io_context& io, const std::string& name)
        : process(io, name), exchange(holder, *process.hub)
    {
        process.hub->on_peer_up = [this](const membership::peer_hello& h) {
            exchange.on_peer_up(h.host);
        };
        process.hub->on_message = [this](const core::host_id& peer, std::uint8_t type,
                                         const std::string& payload) {
            CHECK(exchange.on_message(peer, type, payload));
        };
    }

    plain_holder holder;
    hub_process process;
    gateway::configuration_exchange<plain_holder> exchange;
};

} // namespace

TEST_GROUP(configuration_exchanges)
{
    core::asio::io_context io{1};
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

// Guards against a gateway that is out of service for a part of each watch call, as its keys are
// too old by then.
TEST(configuration_exchanges, short_revocation_times_shorten_the_watch_calls)
{
    using namespace std::chrono_literals;
    CHECK(gateway::configuration_timing_for(5000ms).watch_wait == 1400ms);
    CHECK(gateway::configuration_timing_for(1h).watch_wait == 1400ms);
    CHECK(gateway::configuration_timing_for(0ms).watch_wait == 100ms);
    for (const std::chrono::milliseconds time : {1000ms, 2000ms, 2400ms, 4900ms}) {
        CHECK(gateway::configuration_timing_for(time).watch_wait <=
              time * gateway::max_ready_age_ratio / 2);
    }
}

// A gateway that started after a restore served the older copy, with keys that had been revoked.
TEST(configuration_exchanges, gateway_that_starts_after_a_restore_keeps_the_older_copy)
{
    a.holder.in_force.value = 23;
    b.holder.in_force.value = 25;
    connect_both();
    run_until(io, [this] { return a.holder.in_force.value == 25; });
}

TEST(configuration_exchanges, peers_reply_to_a_listing_that_is_older_than_what_they_have)
{
    a.holder.in_force.value = 23;
    b.holder.in_force.value = 23;
    connect_both();
    b.holder.in_force.value = 25;
    a.exchange.on_listing();
    run_until(io, [this] { return a.holder.in_force.value == 25; });
}

TEST(configuration_exchanges, malformed_messages_are_ignored)
{
    a.holder.in_force.value = 23;
    CHECK(a.exchange.on_message(core::host_id("b"), gateway::configuration_notice_type, "text"));
    CHECK(a.exchange.on_message(core::host_id("b"), gateway::configuration_copy_type, "text"));
    CHECK(!a.exchange.on_message(core::host_id("b"), 1, "text"));
    LONGS_EQUAL(23, a.holder.in_force.value);
}
