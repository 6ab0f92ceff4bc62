#include "core/counters.h"
#include "core/hashing.h"
#include "core/notifier.h"
#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

TEST_GROUP(timers)
{
    testing::paused_run run;
};

TEST(timers, expire_in_order_of_their_deadlines)
{
    std::vector<int> order;
    run.spawn([](std::vector<int>& seen) -> core::task<void> {
        co_await core::sleep_for(20ms);
        seen.push_back(2);
    }(order));
    run.spawn([](std::vector<int>& seen) -> core::task<void> {
        co_await core::sleep_for(10ms);
        seen.push_back(1);
    }(order));
    run.advance(15ms);
    CHECK(order == std::vector<int>({1}));
    run.advance(5ms);
    CHECK(order == std::vector<int>({1, 2}));
}

TEST(timers, deadline_ends_an_operation_that_does_not_answer)
{
    std::optional<core::errc> seen;
    run.spawn([](std::optional<core::errc>& code) -> core::task<void> {
        core::task<core::result<void>> slow_operation = []() -> core::task<core::result<void>> {
            co_await core::sleep_for(1h);
            co_return core::ok();
        }();
        const core::result<void> outcome = co_await core::with_deadline(
            std::move(slow_operation), core::runtime_clock::now() + 3s);
        code = outcome.error().code;
    }(seen));
    run.advance(2999ms);
    CHECK(!seen.has_value());
    run.advance(1ms);
    CHECK(seen == core::errc::timeout);
}

TEST(timers, one_wait_on_a_notifier_does_not_end_another)
{
    core::notifier state_changed(run.executor());
    int ended = 0;
    for (int i = 0; i < 3; ++i) {
        run.spawn([](core::notifier& n, int& count) -> core::task<void> {
            co_await n.wait_until(core::runtime_clock::now() + 50ms);
            ++count;
        }(state_changed, ended));
    }
    run.advance(10ms);
    LONGS_EQUAL(0, ended);
    state_changed.notify();
    run.advance(1ms);
    LONGS_EQUAL(3, ended);
}

TEST(timers, notifier_wakes_before_the_deadline)
{
    core::notifier state_changed(run.executor());
    std::optional<core::time_point> woken;
    run.spawn([](core::notifier& n, std::optional<core::time_point>& at) -> core::task<void> {
        co_await n.wait_until(core::runtime_clock::now() + 10s);
        at = core::runtime_clock::now();
    }(state_changed, woken));
    const core::time_point start = core::runtime_clock::now();
    run.advance(1s);
    state_changed.notify();
    run.advance(0s);
    CHECK(woken == start + 1s);
}

TEST_GROUP(values){};

TEST(values, checksum_depends_on_order)
{
    core::answer_checksum forward;
    forward.add("a");
    forward.add("b");
    core::answer_checksum backward;
    backward.add("b");
    backward.add("a");
    CHECK(forward.value() != backward.value());
}

TEST(values, counters_are_written_with_their_labels)
{
    core::counter_for("test_total", "kind=\"x\"").add(3);
    CHECK(core::metrics_text().find("currantpitch_test_total{kind=\"x\"} 3") != std::string::npos);
}

TEST_GROUP(tasks){};

TEST(tasks, an_exception_ends_only_the_contained_task_that_threw_it)
{
    testing::paused_run run;
    bool other_finished = false;
    core::spawn_contained(run.executor(), "test", []() -> core::task<void> {
        co_await core::sleep_for(10ms);
        throw std::runtime_error("unexpected");
    }());
    run.spawn([](bool& finished) -> core::task<void> {
        co_await core::sleep_for(20ms);
        finished = true;
    }(other_finished));
    run.advance(30ms);
    CHECK(other_finished);
    CHECK(core::counter_for("tasks_failed_total", "task=\"test\"").value() == 1);
}
