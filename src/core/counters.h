#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace currantpitch::core {

/// Counts events of one kind since the process started. A counter exists until the process exits.
class counter {
public:
    void add(std::uint64_t n = 1) { value_ += n; }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

/// A value that can go up and down.
class gauge {
public:
    void set(double value) { value_ = value; }
    double value() const { return value_; }

private:
    double value_ = 0;
};

/// Distribution of durations over buckets with fixed upper bounds in milliseconds.
class histogram {
public:
    static constexpr std::array<std::int64_t, 12> bounds_ms{1,   2,   5,   10,   20,   50,
                                                            100, 200, 500, 1000, 2000, 5000};

    void add(std::chrono::nanoseconds d);
    /// Observations in each bucket, not cumulative. Bucket i ends at bounds_ms[i]; the last bucket
    /// has no upper bound.
    const std::array<std::uint64_t, bounds_ms.size() + 1>& counts() const { return counts_; }
    std::chrono::nanoseconds sum() const { return sum_; }

private:
    std::array<std::uint64_t, bounds_ms.size() + 1> counts_{};
    std::chrono::nanoseconds sum_{};
};

/// Returns the counter with this name and label, creating it on first use. The label has the form
/// key="value" or is empty.
counter& counter_for(std::string_view name, std::string_view label = {});
/// Returns the gauge with this name and label, creating it on first use.
gauge& gauge_for(std::string_view name, std::string_view label = {});

/// Returns the histogram with this name and label, creating it on first use.
histogram& histogram_for(std::string_view name, std::string_view label = {});

/// Returns all counters, gauges and histograms in the Prometheus text format.
std::string metrics_text();

} // namespace currantpitch::core
