#include "actions/ledgerowner.h"
#include "fakes/memorystore.h"

#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::actions;
using namespace std::chrono_literals;

namespace {

using owner_type = ledger_owner<fakes::memory_store>;

claim_operation claim(const std::string& name, std::uint64_t number)
{
    return {
        action_id(name),
        action_fingerprint("f"),
        core::runtime_clock::wall_now(),
        {core::incarnation{1}, core::incarnation{2}, core::epoch{3}, core::attempt_number{number}},
        core::host_id("a")};
}

} // namespace

TEST_GROUP(owners)
{
    testing::paused_run run;
    fakes::memory_store store{run.executor()};
    owner_type first{store, run.executor(), 0, 1};
    owner_type second{store, run.executor(), 0, 2};

    using outcome = std::shared_ptr<std::optional<core::result<ledger_answer>>>;

    outcome start(owner_type & owner, ledger_operation operation, core::duration limit = 30s)
    {
        outcome result = std::make_shared<std::optional<core::result<ledger_answer>>>();
        run.spawn([](owner_type& o, ledger_operation op, core::duration l,
                     outcome r) -> core::task<void> {
            *r = co_await o.execute(std::move(op), core::runtime_clock::now() + l);
        }(owner, std::move(operation), limit, result));
        return result;
    }
    std::uint64_t writes()
    {
        return store.calls["ledger_write"];
    }
};

TEST(owners, concurrent_owners_agree_on_one_claim)
{
    const outcome a = start(first, claim("k", 1));
    const outcome b = start(second, claim("k", 2));
    run.advance(5s);
    CHECK((*a)->value().record->attempt == (*b)->value().record->attempt);
}

TEST(owners, write_with_a_lost_answer_is_found_by_reloading)
{
    store.faults.responses_to_drop = 1;
    const outcome a = start(first, claim("k", 1));
    run.advance(10s);
    CHECK((*a)->value().record->attempt.number.value == 1);
    LONGS_EQUAL(1, store.history().size());
}

TEST(owners, store_outage_applies_no_operation)
{
    store.faults.unavailable = true;
    const outcome a = start(first, claim("k", 1));
    run.advance(30s);
    CHECK((*a)->error().code == core::errc::unavailable);
    CHECK(store.history().empty());
}

TEST(owners, unknown_effect_is_reported_as_timeout)
{
    const outcome warm = start(first, claim("other", 9));
    run.advance(5s);
    store.faults.responses_to_drop = 1;
    const outcome a = start(first, claim("k", 1), 1s);
    run.advance(1s);
    CHECK((*a)->error().code == core::errc::timeout);
}

TEST(owners, claims_and_outcomes_share_writes)
{
    // 200 actions per second for 10 s on one shard. Each is a claim followed by an outcome after
    // 300 ms.
    constexpr int actions = 2000;
    store.faults.delay = 5ms;
    std::vector<outcome> outcomes;
    std::deque<std::pair<core::time_point, claim_operation>> to_finish;
    for (int i = 0; i < actions; ++i) {
        const claim_operation c = claim("k" + std::to_string(i), static_cast<std::uint64_t>(i));
        outcomes.push_back(start(first, c));
        to_finish.emplace_back(core::runtime_clock::now() + 300ms, c);
        run.advance(5ms);
        while (!to_finish.empty() && to_finish.front().first <= core::runtime_clock::now()) {
            const claim_operation& done = to_finish.front().second;
            outcomes.push_back(
                start(first, finish_operation{done.id, done.attempt, 200, "", "booked", true}));
            to_finish.pop_front();
        }
    }
    run.advance(5s);
    for (const outcome& o : outcomes) {
        CHECK(o->has_value() && (*o)->has_value());
    }
    const double writes_per_action = static_cast<double>(writes()) / actions;
    std::printf("ledger actions=%d writes=%llu writes_per_action=%.4f\n", actions,
                static_cast<unsigned long long>(writes()), writes_per_action);
    CHECK(writes_per_action < 0.1);
}
