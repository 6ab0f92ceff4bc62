#include "admission/retrybudget.h"
#include "admission/sharegate.h"

#include "support/modelrun.h"
#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::admission;
using namespace std::chrono_literals;

namespace {

const core::workspace_id big("big");
const core::workspace_id small("small");
const core::time_point start{1h};

int admitted_of(share_gate& gate, const core::workspace_id& workspace, int requests)
{
    int admitted = 0;
    for (int i = 0; i < requests; ++i) {
        const admission_kind kind = gate.request(workspace, 0, 10s, start).kind;
        admitted += kind == admission_kind::guaranteed || kind == admission_kind::borrowed ? 1 : 0;
    }
    return admitted;
}

} // namespace

TEST_GROUP(shares)
{
    share_gate gate;

    void setup() override
    {
        gate.set_workspace(big, 3, 1, 0);
        gate.set_workspace(small, 1, 1, 0);
        gate.set_capacity(100, 0);
    }
};

TEST(shares, single_active_workspace_may_use_all_capacity)
{
    CHECK(admitted_of(gate, small, 200) >= 100);
}

TEST(shares, flood_leaves_capacity_for_other_workspaces)
{
    CHECK(gate.request(small, 0, 10s, start).kind == admission_kind::guaranteed);
    CHECK(admitted_of(gate, big, 1000) <= 86);
    // The fair share of the small workspace is a quarter of 100 slots.
    const int admitted_immediately = admitted_of(gate, small, 100);
    CHECK(admitted_immediately >= 13);
    for (int i = 0; i < 60; ++i) {
        gate.release(big, 100ms);
    }
    int in_use = 1 + admitted_immediately;
    for (const grant& g : gate.take_grants(start)) {
        in_use += g.workspace == small ? 1 : 0;
    }
    LONGS_EQUAL(25, in_use);
}

TEST(shares, request_that_cannot_meet_its_deadline_is_refused_immediately)
{
    CHECK(admitted_of(gate, big, 100) >= 86);
    const admission_decision decision = gate.request(big, 0, 1ms, start);
    CHECK(decision.kind == admission_kind::refused);
    CHECK(decision.retry_after > 1ms);
}

TEST(shares, waiting_request_expires_at_its_deadline)
{
    CHECK(admitted_of(gate, big, 100) >= 86);
    const admission_decision decision = gate.request(big, 0, 5s, start);
    CHECK(decision.kind == admission_kind::waiting);
    CHECK(gate.take_expired(start + 4s).empty());
    CHECK(gate.take_expired(start + 10s).size() >= 1);
    LONGS_EQUAL(0, gate.waiting());
}

TEST(shares, higher_priority_starts_first)
{
    CHECK(admitted_of(gate, big, 100) >= 86);
    share_gate full;
    full.set_capacity(1, 0);
    CHECK(full.request(big, 0, 10s, start).kind == admission_kind::guaranteed);
    const ticket low = full.request(big, 0, 10s, start).number;
    const ticket high = full.request(big, 5, 10s, start).number;
    full.release(big, 10ms);
    CHECK(full.take_grants(start).at(0).number == high);
    full.release(big, 10ms);
    CHECK(full.take_grants(start).at(0).number == low);
}

TEST(shares, fair_share_follows_demand_and_falls_back_without_peer_reports)
{
    gate.set_workspace(big, 1, 2, 0);
    DOUBLES_EQUAL(50, gate.fair_share(big, start), 0.1);
    gate.on_peer_demand({core::host_id("p"), big, 9}, start);
    DOUBLES_EQUAL(25, gate.fair_share(big, start), 0.1);
    DOUBLES_EQUAL(50, gate.fair_share(big, start + demand_lifetime + 1s), 0.1);
}

TEST(shares, invalid_numbers_are_replaced_or_ignored)
{
    gate.set_workspace(big, std::nan(""), 0, 0);
    gate.set_capacity(std::nan(""), -5);
    CHECK(gate.request(big, 0, 10s, start).kind == admission_kind::refused);
    gate.on_peer_demand({core::host_id("p"), big, std::nan("")}, start);
    gate.set_capacity(10, 0);
    CHECK(gate.fair_share(big, start) > 0);
}

namespace {

// Applies random operations and checks the gate against simple counters: every request ends in
// exactly one way, and the numbers of used slots and waiting requests match.
void run_gate(testing::script& s)
{
    share_gate gate;
    core::time_point now = start;
    std::set<ticket> waiting;
    std::map<core::workspace_id, std::uint32_t> running;
    std::uint32_t total = 0;
    while (!s.done()) {
        s.next_command();
        const core::workspace_id workspace(std::string(1, static_cast<char>('a' + s.choose(4))));
        switch (s.choose(7)) {
        case 0:
        case 1: {
            const admission_decision a =
                gate.request(workspace, static_cast<int>(s.choose(3)), 1s * s.choose(5), now);
            if (a.kind == admission_kind::waiting) {
                RC_ASSERT(waiting.insert(a.number).second);
            }
            else if (a.kind != admission_kind::refused) {
                ++running[workspace];
                ++total;
            }
            break;
        }
        case 2:
            if (running[workspace] > 0) {
                --running[workspace];
                --total;
                gate.release(workspace, 10ms * s.choose(100));
            }
            break;
        case 3:
            for (const grant& g : gate.take_grants(now)) {
                RC_ASSERT(waiting.erase(g.number) == 1U);
                ++running[g.workspace];
                ++total;
            }
            break;
        case 4:
            now += 100ms * s.choose(20);
            for (const ticket& t : gate.take_expired(now)) {
                RC_ASSERT(waiting.erase(t) == 1U);
            }
            break;
        case 5:
            gate.set_capacity(static_cast<double>(s.choose(20)), static_cast<double>(s.choose(5)));
            break;
        default:
            gate.set_workspace(workspace, static_cast<double>(s.choose(4)), s.choose(4),
                               static_cast<std::uint32_t>(s.choose(3)));
            gate.on_peer_demand({core::host_id("p"), workspace, 1.0 * s.choose(9)}, now);
            break;
        }
        RC_ASSERT(gate.in_use() == total);
        RC_ASSERT(gate.waiting() == waiting.size());
    }
}

} // namespace

TEST(shares, every_request_ends_in_exactly_one_way)
{
    CHECK_TRUE(testing::check_model("shares", run_gate));
}

TEST_GROUP(retries){};

TEST(retries, are_limited_to_a_fraction_of_first_attempts)
{
    retry_budget budget;
    while (budget.try_acquire_retry()) {
    }
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.on_first_attempt();
        retries += budget.try_acquire_retry() ? 1 : 0;
    }
    CHECK(retries >= 99 && retries <= 100);
}

TEST(retries, delays_grow_within_their_bounds)
{
    CHECK_PROPERTY("delays", [](std::uint64_t seed, std::uint8_t retry) {
        std::mt19937_64 random(seed);
        const std::chrono::milliseconds delay = retry_delay(retry, random);
        RC_ASSERT(delay >= initial_retry_delay / 2);
        RC_ASSERT(delay <= max_retry_delay);
    });
}
