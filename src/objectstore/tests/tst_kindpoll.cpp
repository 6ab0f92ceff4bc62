#include "objectstore/kindpoll.h"

#include "fakes/memorystore.h"
#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

/// Store that returns prepared answers in order and repeats the last one.
struct scripted_store {
    using watch_type = fakes::memory_watch;

    std::vector<core::result<objectstore::listing>> answers;
    std::size_t list_calls = 0;
    bool always_allowed_stale = true;

    core::task<core::result<objectstore::listing>> list(std::vector<std::string>,
                                                        objectstore::call_context call)
    {
        always_allowed_stale = always_allowed_stale && call.allow_stale;
        const std::size_t i = std::min(list_calls++, answers.size() - 1);
        co_return answers[i];
    }
    core::task<core::result<objectstore::object>> get(objectstore::object_key,
                                                      objectstore::call_context)
    {
        co_return core::error{core::errc::not_found, ""};
    }
    core::task<core::result<objectstore::object>> put(objectstore::object_key, std::string,
                                                      core::revision, objectstore::call_context)
    {
        co_return core::error{core::errc::not_found, ""};
    }
    core::task<core::result<objectstore::object>> remove(objectstore::object_key, core::revision,
                                                         objectstore::call_context)
    {
        co_return core::error{core::errc::not_found, ""};
    }
    core::task<core::result<fakes::memory_watch>> watch(std::vector<std::string>, core::revision,
                                                        objectstore::call_context)
    {
        co_return core::error{core::errc::not_found, ""};
    }
};

struct recording_sink {
    std::vector<std::uint64_t> listed_revisions;
    int recoveries = 0;

    void on_listing(const objectstore::listing& snapshot)
    {
        listed_revisions.push_back(snapshot.at.value);
    }
    void on_change(const objectstore::object&) {}
    void on_confirmed_current(core::boot_time) {}
    void on_store_recovered() { ++recoveries; }
};

core::result<objectstore::listing> at(std::uint64_t revision)
{
    objectstore::listing l;
    l.at = core::revision{revision};
    return l;
}

} // namespace

TEST_GROUP(kind_polls)
{
    testing::paused_run run;
    scripted_store store;
    recording_sink sink;
    objectstore::kind_poll<scripted_store, recording_sink> poll{
        store, "host", sink, objectstore::poll_timing{4000ms, 1000ms, 3000ms}, 1};
};

TEST(kind_polls, lists_more_often_during_startup)
{
    store.answers = {at(1)};
    run.spawn(poll.run());
    run.advance(4s);
    CHECK(store.list_calls >= 4 && store.list_calls <= 6);
    const std::size_t before = store.list_calls;
    run.advance(12s);
    CHECK(store.list_calls - before >= 2 && store.list_calls - before <= 4);
    CHECK(store.always_allowed_stale);
}

TEST(kind_polls, older_listing_is_ignored)
{
    store.answers = {at(5), at(3), at(8)};
    run.spawn(poll.run());
    run.advance(4s);
    CHECK(sink.listed_revisions.size() >= 2);
    LONGS_EQUAL(5, sink.listed_revisions[0]);
    LONGS_EQUAL(8, sink.listed_revisions[1]);
}

TEST(kind_polls, failed_listing_is_retried_soon_and_recovery_is_reported)
{
    store.answers = {core::error{core::errc::unavailable, "away"}, at(2)};
    run.spawn(poll.run());
    run.advance(2s);
    CHECK(!sink.listed_revisions.empty());
    LONGS_EQUAL(1, sink.recoveries);
}

// Listings after a restore were dropped until the store had given out the old revisions again.
TEST(kind_polls, listing_of_a_restored_store_is_taken_for_an_old_one)
{
    objectstore::listing restored{core::revision{2, core::store_era{1}}, {}};
    store.answers = {at(5), restored, at(9), restored};
    run.spawn(poll.run());
    run.advance(4s);
    CHECK(sink.listed_revisions.size() >= 3);
    LONGS_EQUAL(5, sink.listed_revisions[0]);
    LONGS_EQUAL(2, sink.listed_revisions[1]);
    // The listing with revision 9 is from before the restore.
    LONGS_EQUAL(2, sink.listed_revisions[2]);
}
