#include "admission/retrywindow.h"

#include "CppUTest/TestHarness.h"

#include <random>
#include <vector>

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

const admission::retry_allowance allowance{0.2, 90, 10s};

} // namespace

TEST_GROUP(retry_windows)
{
    core::time_point start{1h};
};

TEST(retry_windows, fresh_process_takes_none_of_the_slack)
{
    admission::retry_window window(allowance, start);
    CHECK(!window.try_acquire_retry(start + 1s));
    for (int i = 0; i < 100; ++i) {
        window.on_request(start + 1s);
    }
    CHECK(window.try_acquire_retry(start + 1s));
}

TEST(retry_windows, slack_is_split_among_the_processes)
{
    admission::retry_window window(allowance, start);
    window.set_sharers(9);
    int taken = 0;
    while (window.try_acquire_retry(start + 11s)) {
        ++taken;
    }
    LONGS_EQUAL(7, taken);
    CHECK(window.try_acquire_retry(start + 22s));
}

TEST(retry_windows, any_window_of_random_traffic_keeps_the_allowance)
{
    std::mt19937_64 random(42);
    admission::retry_window window(allowance, start);
    window.set_sharers(7);
    std::vector<core::time_point> requests;
    std::vector<core::time_point> repeats;
    core::time_point now = start;
    for (int i = 0; i < 4000; ++i) {
        now += std::chrono::milliseconds(random() % 40);
        // Traffic comes in waves, so that the window before says little of the present one.
        if ((now.time_since_epoch() / 7s) % 2 == 0 || random() % 10 == 0) {
            window.on_request(now);
            requests.push_back(now);
        }
        if (window.try_acquire_retry(now)) {
            repeats.push_back(now);
        }
    }
    for (const core::time_point& end : repeats) {
        const auto within = [end](core::time_point t) {
            return t > end - 10s && t <= end;
        };
        const auto asked = std::count_if(requests.begin(), requests.end(), within);
        const auto sent = std::count_if(repeats.begin(), repeats.end(), within);
        CHECK(static_cast<double>(sent) <= 0.2 * static_cast<double>(asked) + 90.0 / 7);
    }
}
