#pragma once

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

/// The counter of that name and label; created at first use. The label is written as
/// key="value", or empty.
counter& counter_for(std::string_view name, std::string_view label = {});
/// The gauge of that name and label; created at first use.
gauge& gauge_for(std::string_view name, std::string_view label = {});

/// All counters and gauges in the Prometheus text form.
std::string metrics_text();

} // namespace currantpitch::core
