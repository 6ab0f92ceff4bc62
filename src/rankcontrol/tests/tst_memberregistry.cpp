#include "rankcontrol/memberregistry.h"

#include "fakes/memorystore.h"
#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

TEST_GROUP(member_registries)
{
    testing::paused_run run;
    fakes::memory_store store{run.executor()};
    rankcontrol::agent_context context{run.executor(), own_settings()};
    std::map<boost::asio::ip::address, core::group_id> groups;
    rankcontrol::member_registry<fakes::memory_store> registry{
        context, store, 1, [this](std::map<boost::asio::ip::address, core::group_id> listed) {
            groups = std::move(listed);
        }};

    static settings::node_settings own_settings()
    {
        settings::node_settings s;
        s.host = core::host_id("own");
        s.service = core::service_id("tutor");
        s.peer_address = settings::address(boost::asio::ip::make_address("10.0.0.1"), 1);
        return s;
    }
    void setup() override
    {
        core::silence_log();
        context.group = core::group_id("g");
        for (int i = 0; i < rankcontrol::listings_before_registration; ++i) {
            registry.on_host_count(4, 2);
        }
    }
};

// The agent took its own memory for the store's, and the others no longer knew its group.
TEST(member_registries, registration_that_a_restore_has_lost_is_not_written_again)
{
    run.advance(30s);
    LONGS_EQUAL(1, groups.size());
    store.restore(core::revision{});
    for (const char* const name : {"x", "y", "z"}) {
        run.spawn([](fakes::memory_store& s, objectstore::object_key key) -> core::task<void> {
            const std::string body = "{}";
            const objectstore::call_context call{"test", core::runtime_clock::now() + 1s, 1000ms};
            co_await s.put(key, body, core::revision{}, call);
        }(store, {"other", name}));
    }
    run.advance(30s);
    LONGS_EQUAL(1, groups.size());
}
