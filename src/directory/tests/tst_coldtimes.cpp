#include "directory/coldtimes.h"

#include "CppUTest/TestHarness.h"

#include <optional>

using namespace currantpitch;
using namespace std::chrono_literals;

TEST_GROUP(cold_times)
{
    directory::cold_times times;
    core::time_point now{1h};
    const core::endpoint_id name{"i-1"};

    void registered(std::optional<std::chrono::milliseconds> left, std::uint64_t revision,
                    std::uint64_t incarnation = 1)
    {
        directory::endpoint_record record;
        record.endpoint = name;
        record.incarnation = core::incarnation{incarnation};
        record.cold_time_left = left;
        times.on_registered(record, core::revision{revision}, now);
    }
    std::optional<core::duration> taken(bool handled = true)
    {
        std::optional<core::duration> left;
        times.take_new([&](const core::endpoint_id&, const directory::cold_times::cold_time& cold) {
            left = cold.until - now;
            return handled;
        });
        return left;
    }
};

// Each listing shows all registrations, also those that have not been written since the last one.
TEST(cold_times, unchanged_registration_extends_the_cold_time)
{
    registered(3000ms, 1);
    CHECK(taken() == 3000ms);
    now += 1s;
    registered(3000ms, 1);
    CHECK(!taken());
    registered(1800ms, 2);
    CHECK(taken() == 1800ms);
    registered(0ms, 3);
    CHECK(taken() == 0ms);
    // Cold again, with the same text as at first.
    registered(3000ms, 4);
    CHECK(taken() == 3000ms);
}

TEST(cold_times, time_is_lost_or_runs_anew_when_the_configuration_comes_late)
{
    registered(3000ms, 1);
    CHECK(taken(false) == 3000ms);
    now += 1s;
    CHECK(taken() == 2000ms);
    CHECK(!taken());
}

TEST(cold_times, unreadable_time_replaces_the_last_valid_one)
{
    registered(2000ms, 1);
    now += 500ms;
    registered(std::nullopt, 2);
    CHECK(taken() == 1500ms);
    registered(std::nullopt, 3, 2);
    CHECK(taken() == directory::unknown_cold_time);
}

TEST(cold_times, removed_endpoint_is_kept)
{
    registered(2000ms, 1);
    times.retain({});
    CHECK(!taken());
}

// An endpoint that had started again under its name, as all hosts had, was still registered as
// before.
TEST(cold_times, endpoint_of_the_first_listing_counts_as_warm_at_once)
{
    directory::endpoint_record record;
    record.endpoint = name;
    record.incarnation = core::incarnation{1};
    times.on_first_listing(record, core::revision{1}, now);
    CHECK(taken() == directory::renewal_time);
    registered(0ms, 1);
    CHECK(!taken());
    registered(0ms, 2);
    CHECK(taken() == 0ms);
}
