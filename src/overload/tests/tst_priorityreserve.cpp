#include "overload/priorityreserve.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;
using overload::service_capacity;

TEST_GROUP(priority_reserves)
{
    overload::priority_reserve reserve;
    core::time_point now{1h};

    /// Requests of 1 s each arrive at the rate, and none is running at the end.
    void observe(int priority, int per_second)
    {
        for (int i = 0; i < 4 * per_second; ++i) {
            now += std::chrono::duration_cast<core::duration>(1s) / per_second;
            reserve.on_arrival(priority, now);
            reserve.on_start(priority);
            reserve.on_finish(priority, 1s, true);
        }
    }
    bool room(int priority, double used, double slots = 20)
    {
        return reserve.room_for(priority, {slots, used, 1, true}, now).room;
    }
};

TEST(priority_reserves, less_urgent_requests_leave_what_urgent_ones_are_expected_to_use)
{
    reserve.on_arrival(2, now);
    observe(0, 8);
    for (int i = 0; i < 12; ++i) {
        reserve.on_start(2);
    }
    CHECK(!room(2, 12));
    CHECK(room(2, 2));
    CHECK(room(0, 12));
}

// Deployments whose routes have one priority behave as before.
TEST(priority_reserves, requests_of_one_priority_reserve_nothing)
{
    observe(1, 50);
    CHECK(!reserve.active());
    overload::load_by_priority peers;
    peers[1].expected = 3;
    reserve.set_peer_load(peers);
    CHECK(!reserve.active());
    peers[0].expected = 3;
    reserve.set_peer_load(peers);
    CHECK(reserve.active());
}

TEST(priority_reserves, demand_that_ends_is_forgotten_within_seconds)
{
    reserve.on_arrival(2, now);
    observe(0, 8);
    CHECK(reserve.room_for(2, {20, 12, 1, true}, now).reserved > 8);
    now += 10s;
    CHECK(reserve.room_for(2, {20, 12, 1, true}, now).reserved < 0.2);
}

TEST(priority_reserves, each_priority_with_demand_keeps_a_minimum_part)
{
    observe(2, 8);
    observe(0, 200);
    for (int i = 0; i < 8; ++i) {
        reserve.on_arrival(2, now);
    }
    CHECK(room(2, 19));
    reserve.on_start(2);
    CHECK(room(2, 19));
    reserve.on_start(2);
    CHECK(!room(2, 19));
    CHECK(reserve.room_for(0, {20, 10, 1, true}, now).allowed < 19);
}

// A gateway whose peers have many urgent requests took slots that those needed.
TEST(priority_reserves, urgent_requests_of_peers_are_left_room)
{
    reserve.on_arrival(0, now);
    observe(2, 8);
    CHECK(reserve.room_for(2, {100, 60, 10, true}, now).room);
    overload::load_by_priority peers;
    peers[0].expected = 50;
    peers[2].running = 60;
    reserve.set_peer_load(peers);
    for (int i = 0; i < 6; ++i) {
        reserve.on_start(2);
    }
    CHECK(!reserve.room_for(2, {100, 66, 10, true}, now).room);
    CHECK(reserve.room_for(0, {100, 66, 10, true}, now).room);
}

TEST(priority_reserves, gateway_that_is_cut_off_relies_on_its_own_share)
{
    reserve.on_arrival(0, now);
    observe(2, 8);
    for (int i = 0; i < 10; ++i) {
        reserve.on_start(2);
    }
    CHECK(reserve.room_for(2, {200, 10, 10, true}, now).room);
    CHECK(!reserve.room_for(2, {100, 10, 10, false}, now).room);
    CHECK(reserve.room_for(0, {100, 10, 10, false}, now).room);
}
