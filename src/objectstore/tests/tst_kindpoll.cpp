#include "objectstore/kindpoll.h"

#include "fakes/memorystore.h"
#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

/// Listings in the order of a script, the last one for ever.
struct scripted_store {
    using watch_type = fakes::memory_watch;

    std::vector<core::result<objectstore::listing>> answers;
    std::size_t listed = 0;
    bool allowed_old = true;

    core::task<core::result<objectstore::listing>> list(std::vector<std::string>,
                                                        objectstore::call_context call)
    {
        allowed_old = allowed_old && call.may_be_old;
        const std::size_t i = std::min(listed++, answers.size() - 1);
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

struct remembering_sink {
    std::vector<std::uint64_t> taken;
    int store_back = 0;

    void on_listing(const objectstore::listing& whole) { taken.push_back(whole.at.value); }
    void on_change(const objectstore::object&) {}
    void on_confirmed_current(core::boot_time) {}
    void on_store_recovered() { ++store_back; }
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
    remembering_sink sink;
    objectstore::kind_poll<scripted_store, remembering_sink> poll{
        store, "host", sink, objectstore::poll_timing{4000ms, 1000ms, 3000ms}, 1};
};

TEST(kind_polls, listings_come_often_at_first_and_seldom_later)
{
    store.answers = {at(1)};
    run.spawn(poll.run());
    run.advance(4s);
    CHECK(store.listed >= 4 && store.listed <= 6);
    const std::size_t before = store.listed;
    run.advance(12s);
    CHECK(store.listed - before >= 2 && store.listed - before <= 4);
    CHECK(store.allowed_old);
}

TEST(kind_polls, an_answer_older_than_the_last_is_passed_over)
{
    store.answers = {at(5), at(3), at(8)};
    run.spawn(poll.run());
    run.advance(4s);
    CHECK(sink.taken.size() >= 2);
    LONGS_EQUAL(5, sink.taken[0]);
    LONGS_EQUAL(8, sink.taken[1]);
}

TEST(kind_polls, failures_are_tried_again_soon_and_told_of)
{
    store.answers = {core::error{core::errc::unavailable, "away"}, at(2)};
    run.spawn(poll.run());
    run.advance(2s);
    CHECK(!sink.taken.empty());
    LONGS_EQUAL(1, sink.store_back);
}
