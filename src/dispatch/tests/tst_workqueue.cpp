#include "dispatch/workqueue.h"

#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

using slot_result = core::result<dispatch::work_queue::slot>;

core::task<void> acquire_slot(dispatch::work_queue& queue, std::optional<slot_result>& out)
{
    dispatch::dispatch_request r;
    r.arrived = core::runtime_clock::now();
    r.deadline = r.arrived + 200ms;
    out.emplace(co_await queue.acquire_slot(r));
}

} // namespace

TEST_GROUP(work_queues)
{
    testing::paused_run run;
    dispatch::work_queue queue{run.executor(),
                               dispatch::scheduler(core::failure_domain_id("here"), false, 1)};

    void setup() override
    {
        queue.slot_scheduler().set_endpoints(
            {{core::endpoint_id("a"), core::failure_domain_id("here"), 1}});
    }
};

TEST(work_queues, slot_is_released_by_its_destructor)
{
    std::optional<slot_result> first;
    std::optional<slot_result> second;
    run.spawn(acquire_slot(queue, first));
    run.spawn(acquire_slot(queue, second));
    run.advance(10ms);
    CHECK(first && first->has_value());
    CHECK(!second);
    first.reset();
    run.advance(1ms);
    CHECK(second && second->has_value());
}

TEST(work_queues, waiting_ends_at_the_deadline)
{
    std::optional<slot_result> first;
    std::optional<slot_result> second;
    run.spawn(acquire_slot(queue, first));
    run.spawn(acquire_slot(queue, second));
    run.advance(200ms);
    CHECK(second && !second->has_value());
    CHECK(second->error().code == core::errc::timeout);
    LONGS_EQUAL(0, queue.slot_scheduler().waiting());
}

TEST(work_queues, service_without_endpoints_fails_immediately)
{
    queue.slot_scheduler().set_endpoints({});
    std::optional<slot_result> none;
    run.spawn(acquire_slot(queue, none));
    run.advance(0ms);
    CHECK(none && none->error().code == core::errc::unavailable);
}

TEST(work_queues, cancelled_wait_leaves_the_queue)
{
    using namespace core::asio::experimental::awaitable_operators;
    std::optional<slot_result> first;
    std::optional<slot_result> second;
    run.spawn(acquire_slot(queue, first));
    run.advance(1ms);
    run.spawn([](dispatch::work_queue& q, std::optional<slot_result>& out) -> core::task<void> {
        co_await (acquire_slot(q, out) || core::sleep_for(50ms));
    }(queue, second));
    run.advance(60ms);
    CHECK(!second);
    LONGS_EQUAL(0, queue.slot_scheduler().waiting());
    first.reset();
    LONGS_EQUAL(0,
                queue.slot_scheduler().load_of(core::endpoint_id("a"), core::runtime_clock::now()));
}
