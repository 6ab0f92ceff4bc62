#include "settings/nodesettings.h"
#include "settings/numbers.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

#include <cmath>

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

/// Returns the ways in which a program may write the number.
std::vector<std::string> renderings(double number)
{
    std::vector<std::string> texts;
    for (const char* const format : {"%.17g", "%.17e", "%.17E", "%.15f", "+%.17g"}) {
        std::array<char, 512> text{};
        std::snprintf(text.data(), text.size(), format, number);
        texts.emplace_back(text.data());
    }
    return texts;
}

double any_number(double max)
{
    const int digits = *rc::gen::inRange(0, 7);
    const double scale = std::pow(10.0, digits);
    return static_cast<double>(
               *rc::gen::inRange<std::int64_t>(0, static_cast<std::int64_t>(max * scale))) /
           scale;
}

} // namespace

TEST_GROUP(setting_numbers){};

TEST(setting_numbers, durations_may_be_fractions)
{
    CHECK(settings::parse_duration("8.5s") == 8500ms);
    CHECK(settings::parse_duration("8.0s") == 8s);
    CHECK(settings::parse_duration("0.29s") == 290ms);
    CHECK(settings::parse_duration("1.5m") == 90s);
    CHECK(settings::parse_duration("5e3ms") == 5s);
    CHECK(settings::parse_duration("85E-1s") == 8500ms);
    CHECK(settings::parse_duration("+.5s") == 500ms);
    CHECK(settings::parse_duration("0.4ms") == 0ms);
    CHECK(settings::parse_duration("1.9ms") == 1ms);
}

TEST(setting_numbers, other_texts_are_no_numbers)
{
    for (const char* const text : {"", "s", ".", "8.5", "8.5h", "8,5s", "-1s", "+-1s", "infs",
                                   "nans", "0x10s", "1es", "8.5 s", "8.5ss", "1e999s"}) {
        CHECK_TEXT(!settings::parse_duration(text), text);
    }
    for (const char* const text :
         {"", "+", "-1", "inf", "nan", "1e", "0x1", "1 ", "1e999", "true"}) {
        CHECK_TEXT(!settings::parse_real(text), text);
    }
}

// Guards against a form of a number that a platform renders and the settings do not accept.
TEST(setting_numbers, each_rendering_of_a_number_is_read)
{
    CHECK_PROPERTY("renderings of numbers", [] {
        const double number = any_number(1e5);
        for (const std::string& text : renderings(number)) {
            RC_ASSERT(std::abs(settings::parse_real(text).value() - number) <= 1e-9 * number);
            const settings::real_milliseconds seconds =
                settings::parse_real_duration(text + "s").value();
            RC_ASSERT(std::abs(seconds.count() - number * 1000) <= 1e-6 * number);
            const std::chrono::milliseconds whole = settings::parse_duration(text + "ms").value();
            RC_ASSERT(std::abs(static_cast<double>(whole.count()) - std::floor(number)) <= 0);
        }
    });
}

// Guards against processes that do not start because of the size of a number.
TEST(setting_numbers, numbers_outside_their_range_are_moved_into_it)
{
    const auto read = [](const std::string& lines) {
        return settings::read_node_settings("role: gateway\nhost: a\nfailure_domain: b\n"
                                            "store: 10.0.0.1:1\nlisten: {callers: \"10.0.0.1:1\", "
                                            "directory: \"10.0.0.1:2\", readiness: \"10.0.0.1:3\", "
                                            "peers: \"10.0.0.1:4\", metrics: \"10.0.0.1:5\"}\n" +
                                                lines,
                                            "a.yaml");
    };
    const settings::node_settings_report large =
        read("stop_timeout: 1e9s\nrevocation_time: 1e9s\nevacuation_time: 1e9s\n"
             "retries: {ratio: 1000, slack: 1e9, window: 1e9s}\n"
             "cold_start: {overshoot: 1e9, tolerance: 1e9}\n");
    CHECK(large.settings.has_value());
    LONGS_EQUAL(8, large.adjustments.size());
    CHECK(large.settings->stop_timeout == settings::max_stop_timeout);
    CHECK(large.settings->retry_ratio <= 10);
    const settings::node_settings_report small =
        read("stop_timeout: 0.4ms\nrevocation_time: 0.5ms\nevacuation_time: 0.25ms\n"
             "retries: {ratio: 0, slack: 0.5, window: 0.0001s}\n");
    CHECK(small.settings.has_value());
    LONGS_EQUAL(2, small.adjustments.size());
    CHECK(small.settings->stop_timeout == 0ms);
    CHECK(small.settings->evacuation_time == settings::min_evacuation_time);
    CHECK(small.settings->retry_window == settings::min_retry_window);
    // A shorter time is kept, since a longer one would let keys work for longer than allowed.
    CHECK(small.settings->revocation_time == 0ms);
    CHECK(core::to_text(small.adjustments).find("a.yaml:8:18: evacuation_time: 0.25ms") !=
          std::string::npos);
}
