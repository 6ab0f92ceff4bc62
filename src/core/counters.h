#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace currantpitch::core {

/// Counts events of one kind since the process started. Counters live as long as the process.
class counter {
public:
    void add(std::uint64_t n = 1) { value_ += n; }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

/// Holds a measured value that rises and falls.
class gauge {
public:
    void set(double value) { value_ = value; }
    double value() const { return value_; }

private:
    double value_ = 0;
};

/// Distribution of durations over fixed bounds, in milliseconds.
class histogram {
public:
    static constexpr std::array<std::int64_t, 12> bounds_ms{1,   2,   5,   10,   20,   50,
                                                            100, 200, 500, 1000, 2000, 5000};

    void add(std::chrono::nanoseconds d);
    /// Observations up to bounds_ms[i], not counting those of smaller bounds; the last is the rest.
    const std::array<std::uint64_t, bounds_ms.size() + 1>& counts() const { return counts_; }
    std::chrono::nanoseconds sum() const { return sum_; }

private:
    std::array<std::uint64_t, bounds_ms.size() + 1> counts_{};
    std::chrono::nanoseconds sum_{};
};

/// The counter of that name and label; created at first use. The label is written as
/// key="value", or empty.
counter& counter_for(std::string_view name, std::string_view label = {});
/// The gauge of that name and label; created at first use.
gauge& gauge_for(std::string_view name, std::string_view label = {});

/// The histogram of that name and label; created at first use.
histogram& histogram_for(std::string_view name, std::string_view label = {});

/// All counters, gauges and histograms in the Prometheus text form.
std::string metrics_text();

} // namespace currantpitch::core
