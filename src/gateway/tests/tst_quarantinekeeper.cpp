#include "gateway/quarantinekeeper.h"

#include "admission/admissionconstants.h"
#include "fakes/memorystore.h"
#include "objectstore/kindpoll.h"
#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

const admission::fingerprint deadly("deadly");

// The part of an entry that keeps its held requests in the store.
struct entry_process {
    using keeper_type = gateway::quarantine_keeper<fakes::memory_store>;

    entry_process(testing::paused_run& run, fakes::memory_store& store)
        : keeper(run.executor(), store, guard),
          poll(store, "Quarantine", keeper, gateway::quarantine_poll_timing, 1)
    {
        run.spawn(keeper.run());
        run.spawn(poll.run());
    }
    void crash(std::uint64_t incarnation)
    {
        guard.on_crash({deadly, workspace, core::endpoint_id("e"), core::failure_domain_id("fd"),
                        core::incarnation{incarnation}, false, core::runtime_clock::now()});
    }

    core::workspace_id workspace{"w"};
    proxy::request_guard guard{[](const admission::suspicion_report&) {
    }};
    keeper_type keeper;
    objectstore::kind_poll<fakes::memory_store, keeper_type> poll;
};

} // namespace

TEST_GROUP(quarantine_keepers)
{
    testing::paused_run run;
    fakes::memory_store store{run.executor()};
    std::vector<std::unique_ptr<entry_process>> entries;

    void setup() override
    {
        core::silence_log();
        start();
    }
    entry_process& start()
    {
        entries.push_back(std::make_unique<entry_process>(run, store));
        return *entries.back();
    }
    void advance(core::duration d)
    {
        for (core::duration passed{}; passed < d; passed += 100ms) {
            run.advance(100ms);
            for (const std::unique_ptr<entry_process>& e : entries) {
                e->guard.update(core::runtime_clock::now());
            }
        }
    }
    void hold_at(entry_process & e)
    {
        e.crash(1);
        advance(1s);
        e.crash(2);
        advance(1s);
        CHECK(e.guard.refuses(deadly));
    }
    bool stored() const
    {
        bool found = false;
        for (const objectstore::object& o : store.history()) {
            found = o.key == intents::quarantine_key("deadly") ? !o.deleted : found;
        }
        return found;
    }
    void remove_as_operator()
    {
        run.spawn([](fakes::memory_store& s) -> core::task<void> {
            co_await intents::remove_quarantine(s, "deadly");
        }(store));
        advance(100ms);
        CHECK(!stored());
    }
};

TEST(quarantine_keepers, held_request_stays_held_when_all_entries_restart)
{
    hold_at(*entries.front());
    CHECK(stored());
    entry_process& started = start();
    CHECK(!started.guard.refuses(deadly));
    advance(100ms);
    CHECK(started.guard.refuses(deadly));
    advance(admission::initial_hold);
    CHECK(!started.guard.refuses(deadly));
}

TEST(quarantine_keepers, anonymous_request_stays_held_when_all_entries_restart)
{
    entries.front()->workspace = core::workspace_id();
    hold_at(*entries.front());
    entry_process& started = start();
    advance(100ms);
    CHECK(started.guard.refuses(deadly));
}

TEST(quarantine_keepers, quarantine_is_written_when_the_store_is_back)
{
    store.faults.unavailable = true;
    hold_at(*entries.front());
    CHECK(!stored());
    store.faults.unavailable = false;
    advance(5s);
    CHECK(stored());
}

TEST(quarantine_keepers, operator_lifts_a_hold_by_deleting_its_object)
{
    hold_at(*entries.front());
    advance(10s);
    remove_as_operator();
    advance(10s);
    CHECK(!entries.front()->guard.refuses(deadly));
}

TEST(quarantine_keepers, answer_removes_the_object)
{
    hold_at(*entries.front());
    advance(admission::initial_hold);
    entries.front()->guard.admit("id", deadly);
    entries.front()->guard.on_answered(deadly);
    advance(100ms);
    CHECK(!stored());
    advance(10s);
    CHECK(!entries.front()->guard.refuses(deadly));
}

TEST(quarantine_keepers, restore_of_the_store_from_an_older_copy_lifts_no_hold)
{
    const core::revision copy = store.last();
    hold_at(*entries.front());
    advance(10s);
    store.restore(copy);
    CHECK(!stored());
    advance(10s);
    CHECK(entries.front()->guard.refuses(deadly));
}

TEST(quarantine_keepers, quarantine_that_has_expired_is_removed_and_holds_nothing)
{
    hold_at(*entries.front());
    // Calendar time does not stand still in tests, so the object is written with a time that is
    // over.
    remove_as_operator();
    intents::quarantine_spec spec;
    spec.workspace = core::workspace_id("w");
    spec.fingerprint = "deadly";
    spec.evidence = {"e/1"};
    spec.expires_at = core::runtime_clock::wall_now() - 1s;
    run.spawn([](fakes::memory_store& s, intents::quarantine_spec q) -> core::task<void> {
        co_await intents::write_quarantine(s, std::move(q), "n");
    }(store, spec));
    advance(100ms);
    CHECK(stored());
    entry_process& started = start();
    advance(1s);
    CHECK(!started.guard.refuses(deadly));
    CHECK(!stored());
}
