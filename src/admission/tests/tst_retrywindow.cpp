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

TEST(retry_windows, new_process_uses_no_slack)
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
    window.set_process_count(9);
    int acquired = 0;
    while (window.try_acquire_retry(start + 11s)) {
        ++acquired;
    }
    LONGS_EQUAL(7, acquired);
    CHECK(window.try_acquire_retry(start + 22s));
}

TEST(retry_windows, any_window_of_random_traffic_keeps_the_allowance)
{
    std::mt19937_64 random(42);
    admission::retry_window window(allowance, start);
    window.set_process_count(7);
    std::vector<core::time_point> requests;
    std::vector<core::time_point> retries;
    core::time_point now = start;
    for (int i = 0; i < 4000; ++i) {
        now += std::chrono::milliseconds(random() % 40);
        // Traffic alternates between high and low rates, so that the previous window does not
        // predict the current one.
        if ((now.time_since_epoch() / 7s) % 2 == 0 || random() % 10 == 0) {
            window.on_request(now);
            requests.push_back(now);
        }
        if (window.try_acquire_retry(now)) {
            retries.push_back(now);
        }
    }
    for (const core::time_point& end : retries) {
        const auto within = [end](core::time_point t) {
            return t > end - 10s && t <= end;
        };
        const auto request_count = std::count_if(requests.begin(), requests.end(), within);
        const auto retry_count = std::count_if(retries.begin(), retries.end(), within);
        CHECK(static_cast<double>(retry_count) <=
              0.2 * static_cast<double>(request_count) + 90.0 / 7);
    }
}
