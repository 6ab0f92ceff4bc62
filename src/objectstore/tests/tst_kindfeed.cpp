#include "objectstore/kindfeed.h"

#include "fakes/memorystore.h"
#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

struct recording_sink {
    std::map<std::string, core::time_point> changed_at;

    void on_listing(const objectstore::listing&) {}
    void on_change(const objectstore::object& o)
    {
        changed_at[o.key.name] = core::runtime_clock::now();
    }
    void on_confirmed_current(core::boot_time) {}
    void on_store_recovered() {}
};

} // namespace

// A feed of endpoints with long calls and a feed of the configuration with short ones, connected as
// in a gateway.
TEST_GROUP(kind_feeds)
{
    testing::paused_run run;
    fakes::memory_store store{run.executor()};
    recording_sink endpoint_sink;
    recording_sink configuration_sink;
    objectstore::kind_feed<fakes::memory_store, recording_sink> endpoints{
        run.executor(), store, "endpoint", endpoint_sink, {8000ms, 900ms, 900ms}, 1};
    objectstore::kind_feed<fakes::memory_store, recording_sink> configuration{
        run.executor(), store, "configuration", configuration_sink, {1400ms, 0ms, 500ms}, 2};

    void start()
    {
        configuration.on_answer = [this](core::revision at) {
            endpoints.on_store_progress(at);
        };
        configuration.on_failure = [this] {
            endpoints.on_store_doubtful();
        };
        run.spawn(endpoints.run());
        run.advance(10ms);
        run.spawn(configuration.run());
        run.advance(10ms);
    }
    void write(const std::string& kind, const std::string& name)
    {
        run.spawn([](fakes::memory_store& s, objectstore::object_key key) -> core::task<void> {
            co_await s.put(key, "{}", core::revision{},
                           {"test", core::runtime_clock::now() + 1s, 1000ms});
        }(store, {kind, name}));
        run.advance(1ms);
    }
};

// Soak seed 304: a drain was seen only when the watch's wait time of 8 s had passed.
TEST(kind_feeds, a_change_is_seen_soon_although_the_answer_to_a_long_watch_was_lost)
{
    store.faults.watch_answers_to_lose = 1;
    start();
    run.advance(2s);
    write("endpoint", "draining");
    const core::time_point written_at = core::runtime_clock::now();
    run.advance(10s);
    CHECK(endpoint_sink.changed_at.contains("draining"));
    CHECK(endpoint_sink.changed_at["draining"] - written_at < 2s);
}

TEST(kind_feeds, a_change_is_seen_soon_after_answers_to_both_watches_were_lost)
{
    store.faults.watch_answers_to_lose = 2;
    start();
    write("endpoint", "draining");
    run.advance(10s);
    CHECK(endpoint_sink.changed_at.contains("draining"));
    // The configuration's call times out after 2.9 s.
    CHECK(endpoint_sink.changed_at["draining"] - core::time_point{} <
          core::runtime_clock::now() - 10s + 3500ms - core::time_point{});
}

TEST(kind_feeds, a_quiet_store_gets_no_additional_calls)
{
    start();
    run.advance(20s);
    const std::uint64_t before = store.calls["endpoint"];
    run.advance(60s);
    LONGS_EQUAL(before, store.calls["endpoint"]);
}

TEST(kind_feeds, a_change_that_was_seen_costs_no_additional_call)
{
    start();
    run.advance(2s);
    const std::uint64_t before = store.calls["endpoint"];
    for (int i = 0; i < 10; ++i) {
        write("endpoint", "e" + std::to_string(i));
        run.advance(3s);
    }
    LONGS_EQUAL(10, endpoint_sink.changed_at.size());
    // The stand-in's watch stays open over its events.
    LONGS_EQUAL(before, store.calls["endpoint"]);
}

TEST(kind_feeds, changes_of_other_kinds_cost_at_most_one_call_each_second)
{
    start();
    run.advance(2s);
    const std::uint64_t before = store.calls["endpoint"];
    for (int i = 0; i < 40; ++i) {
        write("configuration", "version-" + std::to_string(i));
        run.advance(249ms);
    }
    CHECK(store.calls["endpoint"] - before <= 11);
}

// Revisions of the time before the restore were taken for newer than those of the store.
TEST(kind_feeds, changes_after_a_restore_are_seen_only_when_the_revisions_are_passed_again)
{
    write("endpoint", "a");
    const core::revision copy = store.last();
    write("endpoint", "b");
    run.spawn(endpoints.run());
    run.advance(10ms);
    // Another feed has seen changes of other kinds.
    endpoints.on_store_progress(core::revision{100});
    run.advance(3s);
    store.faults.watch_answers_to_lose = 1;
    store.restore(copy);
    run.advance(3s);
    write("endpoint", "draining");
    endpoints.on_store_progress(store.last());
    run.advance(2s);
    CHECK(endpoint_sink.changed_at.contains("draining"));
}
