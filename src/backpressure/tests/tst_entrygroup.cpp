#include "backpressure/backpressureconstants.h"
#include "backpressure/entrygroup.h"

#include "CppUTest/TestHarness.h"

#include <vector>

using namespace currantpitch;
using namespace std::chrono_literals;

TEST_GROUP(entry_groups)
{
    core::time_point now{1h};
    std::vector<core::host_id> hosts{core::host_id("a"), core::host_id("b"), core::host_id("c"),
                                     core::host_id("d"), core::host_id("e")};

    /// The view of hosts[self] if it reaches the hosts with these indices.
    backpressure::entry_group view(std::size_t self, const std::vector<std::size_t>& reached)
    {
        backpressure::entry_group group(hosts[self]);
        group.set_registered({hosts.begin(), hosts.end()}, now);
        for (const std::size_t peer : reached) {
            group.on_peer_up(hosts[peer]);
        }
        return group;
    }
};

TEST(entry_groups, entries_that_reach_each_other_agree_on_the_owner)
{
    const backpressure::entry_group a = view(0, {1, 2, 3, 4});
    const backpressure::entry_group d = view(3, {0, 1, 2, 4});
    std::set<core::host_id> owners;
    for (int i = 0; i < 100; ++i) {
        const core::endpoint_id endpoint("i-" + std::to_string(i));
        CHECK(a.permit_owner(endpoint) == d.permit_owner(endpoint));
        owners.insert(a.permit_owner(endpoint));
    }
    LONGS_EQUAL(5, owners.size());
    DOUBLES_EQUAL(1.0, a.pooled_part(now), 1e-9);
}

// Entries that were cut off from each other took the whole limit on each side.
TEST(entry_groups, sides_of_a_cut_do_not_exceed_the_limit_together)
{
    const backpressure::entry_group majority = view(0, {1, 2});
    const backpressure::entry_group minority = view(3, {4});
    CHECK(majority.pooled_part(now) + minority.pooled_part(now) <= 1.0 + 1e-9);
    CHECK(view(3, {}).pooled_part(now) == view(3, {}).own_part());
    now += backpressure::absent_part_lifetime;
    DOUBLES_EQUAL(1.0, majority.pooled_part(now), 1e-9);
    DOUBLES_EQUAL(0.4, minority.pooled_part(now), 1e-9);
}

TEST(entry_groups, part_of_a_lost_entry_is_unused_until_it_counts_as_gone)
{
    backpressure::entry_group a = view(0, {1, 2, 3, 4});
    a.on_peer_down(hosts[4], now);
    DOUBLES_EQUAL(0.8, a.pooled_part(now), 1e-9);
    DOUBLES_EQUAL(1.0, a.pooled_part(now + backpressure::absent_part_lifetime), 1e-9);
    a.on_peer_up(hosts[4]);
    DOUBLES_EQUAL(1.0, a.pooled_part(now), 1e-9);
}
