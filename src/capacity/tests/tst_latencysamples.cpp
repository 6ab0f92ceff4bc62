#include "capacity/capacityconstants.h"
#include "capacity/latencysamples.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

TEST_GROUP(latency_sample_windows)
{
    capacity::latency_samples samples;
    core::time_point now{1h};

    void add(double log_latency, unsigned load = 1, std::optional<core::host_id> peer = {})
    {
        now += 10ms;
        samples.add({now, load, log_latency, std::move(peer)});
    }
};

// Guards against a window that is filled up with samples of another load.
TEST(latency_sample_windows, only_loads_in_the_range_count)
{
    for (unsigned i = 0; i < 6; ++i) {
        add(1, 1);
        add(5, 4);
    }
    DOUBLES_EQUAL(5, samples.newest(6, {3, 9})->log_latency, 1e-9);
    DOUBLES_EQUAL(4, samples.newest(6, {3, 9})->mean_load, 1e-9);
    CHECK(!samples.newest(7, {3, 9}));
}

// Guards against a peer with wrong samples that moves the median.
TEST(latency_sample_windows, one_peer_cannot_move_the_median)
{
    const core::host_id liar("liar");
    for (int i = 0; i < 6; ++i) {
        add(1);
    }
    for (int i = 0; i < 50; ++i) {
        add(9, 1, liar);
    }
    DOUBLES_EQUAL(1, samples.newest(6, {})->log_latency, 1e-9);
    LONGS_EQUAL(6, samples.own_count());
    LONGS_EQUAL(6 + capacity::max_samples_of_peer, samples.size());
}

// Guards against an entry without own requests that ignores the only peer that has some.
TEST(latency_sample_windows, the_only_source_counts_fully)
{
    for (int i = 0; i < 6; ++i) {
        add(3, 1, core::host_id("peer"));
    }
    CHECK(samples.newest(6, {}).has_value());
}

// Guards against a late report that is taken for the newest samples.
TEST(latency_sample_windows, late_samples_are_put_in_their_place)
{
    for (int i = 0; i < 6; ++i) {
        add(1);
    }
    samples.add({now - 1s, 1, 9, core::host_id("peer")});
    DOUBLES_EQUAL(1, samples.last()->log_latency, 1e-9);
    samples.expire(now + capacity::sample_lifetime - 500ms);
    LONGS_EQUAL(6, samples.size());
}
