#include "expertmaps/fenceclaim.h"
#include "fakes/memorystore.h"

#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

TEST_GROUP(fences)
{
    testing::paused_run run;
    fakes::memory_store store{run.executor()};

    std::shared_ptr<core::result<core::fence>> claim(std::uint64_t nonce)
    {
        std::shared_ptr<core::result<core::fence>> outcome =
            std::make_shared<core::result<core::fence>>(core::error{});
        run.spawn([](fakes::memory_store& s, std::uint64_t n,
                     std::shared_ptr<core::result<core::fence>> out) -> core::task<void> {
            const std::string group = "g";
            *out = co_await expertmaps::claim_fence(s, group, n);
        }(store, nonce, outcome));
        return outcome;
    }
};

TEST(fences, one_of_two_concurrent_claims_fails)
{
    store.faults.delay = 10ms;
    const std::shared_ptr<core::result<core::fence>> a = claim(1);
    const std::shared_ptr<core::result<core::fence>> b = claim(2);
    run.advance(1s);
    CHECK(a->has_value() != b->has_value());
    const std::shared_ptr<core::result<core::fence>> c = claim(3);
    run.advance(1s);
    CHECK(c->value() == core::fence{2});
}

TEST(fences, lost_write_response_is_resolved_by_the_nonce)
{
    store.faults.responses_to_drop = 1;
    const std::shared_ptr<core::result<core::fence>> a = claim(1);
    run.advance(5s);
    CHECK(a->value() == core::fence{1});
}

TEST(fences, claim_fails_during_a_store_outage)
{
    store.faults.unavailable = true;
    const std::shared_ptr<core::result<core::fence>> a = claim(1);
    run.advance(5s);
    CHECK(a->error().code == core::errc::unavailable);
}

// A leader kept its fence across a restore that had lost it, and another agent claimed the same
// one.
TEST(fences, fence_that_a_restore_has_lost_is_claimed_again)
{
    claim(1);
    run.advance(1s);
    const core::revision copy = store.last();
    const std::shared_ptr<core::result<core::fence>> lost = claim(2);
    run.advance(1s);
    CHECK(lost->value() == core::fence{2});
    store.restore(copy);
    const std::shared_ptr<core::result<core::fence>> next = claim(3);
    run.advance(1s);
    CHECK(next->value() > lost->value());
    store.restore(core::revision{});
    const std::shared_ptr<core::result<core::fence>> created = claim(4);
    run.advance(1s);
    CHECK(created->value() > next->value());
}
