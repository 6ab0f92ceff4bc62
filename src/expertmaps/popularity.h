#pragma once

#include "core/error.h"
#include "core/runtimeclock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace currantpitch::expertmaps {

/// Load that a group reported for one interval.
struct group_sample {
    /// Time at which the load was measured.
    core::time_point at;
    /// Tokens routed to each expert within the interval.
    std::vector<double> expert_tokens;
    /// Tokens that each rank processed, and the time that it needed for a step without waiting for
    /// other ranks. Empty when the ranks did not report.
    std::vector<double> rank_tokens;
    std::vector<std::chrono::nanoseconds> rank_step_times;
};

/// Input of the planner.
struct popularity_estimate {
    /// Fraction of all tokens for each expert; adds up to 1.
    std::vector<double> expert_share;
    /// Speed of each rank relative to the median rank.
    std::vector<double> rank_speed;
    /// Set when the newest sample was a burst, which replaces the smoothed popularity.
    bool burst = false;
    core::time_point at;
};

/// Smooths popularity and rank speeds. The weight of a new sample is derived from the samples. When
/// samples differ no more over two intervals than over one, the difference is noise and the weight
/// is low. When the difference grows with time, popularity drifts and the weight is high. A sample
/// far from the mean is a burst and replaces the mean. The speed of a rank is its token rate, so
/// that a slow host is distinguished from a rank with a high load.
class popularity_tracker {
public:
    popularity_tracker(std::size_t experts, std::size_t ranks);

    /// Adds a sample. Returns errc::malformed for wrong sizes and for negative, infinite or too
    /// large counts, and errc::stale for a sample that is too old, too far in the future or not
    /// newer than the last one.
    core::result<void> add(const group_sample& sample, core::time_point now);

    /// Returns the current estimate, or nothing before the first sample, when the last sample is
    /// too old and when no tokens have been reported.
    std::optional<popularity_estimate> estimate(core::time_point now) const;
    std::uint64_t rejected() const { return rejected_; }

private:
    core::result<void> check(const group_sample& sample, core::time_point now) const;
    void update_popularity(const std::vector<double>& tokens);
    void update_speeds(const group_sample& sample);

    double newest_sample_weight(const std::vector<double>& share);

    std::vector<double> mean_;
    /// Token shares of the last two samples, newest first.
    std::vector<double> previous_;
    std::vector<double> before_previous_;
    /// Smoothed squared differences of the token shares over one and over two intervals.
    double one_interval_difference_ = 0;
    double two_interval_difference_ = 0;
    std::vector<double> speeds_;
    bool burst_ = false;
    std::optional<core::time_point> last_sample_at_;
    std::uint64_t rejected_ = 0;
};

} // namespace currantpitch::expertmaps
