#pragma once

#include "core/error.h"
#include "core/runtimeclock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace currantpitch::expertmaps {

/// What a group reported for one interval.
struct group_sample {
    /// When the figures were taken.
    core::time_point at;
    /// Tokens routed to each expert within the interval.
    std::vector<double> expert_tokens;
    /// Tokens that each rank worked on, and the time it needed for a step without waiting for
    /// others; empty when the ranks did not report.
    std::vector<double> rank_tokens;
    std::vector<std::chrono::nanoseconds> rank_step_times;
};

/// What the planner goes by.
struct popularity_estimate {
    /// Part of all tokens by expert; adds up to 1.
    std::vector<double> expert_share;
    /// Speed of each rank relative to the median rank.
    std::vector<double> rank_speed;
    /// A burst was seen, so that the newest samples count most.
    bool burst = false;
    core::time_point at;
};

/// Smooths popularity and rank speeds. The weight of a new sample follows from the samples: where
/// they differ no more over two intervals than over one, the difference is noise and the weight is
/// low; where it grows with time, popularity drifts and the weight is high. A sample far from the
/// mean shows a burst and replaces it. A rank that is slow for its load is a slow host; a rank that
/// has much load is not.
class popularity_tracker {
public:
    popularity_tracker(std::size_t experts, std::size_t ranks);

    /// Takes a sample. errc::malformed for wrong sizes, negative, infinite or enormous figures,
    /// errc::stale for one that is too old, from the future or not newer than the last.
    core::result<void> add(const group_sample& sample, core::time_point now);

    /// The estimate; nothing before the first sample and when the last is too old.
    std::optional<popularity_estimate> estimate(core::time_point now) const;
    std::uint64_t rejected() const { return rejected_; }

private:
    core::result<void> check(const group_sample& sample, core::time_point now) const;
    void follow_popularity(const std::vector<double>& tokens);
    void follow_speeds(const group_sample& sample);

    double weight_of_newest(const std::vector<double>& share);

    std::vector<double> mean_;
    /// The last two samples, newest first.
    std::vector<double> previous_;
    std::vector<double> before_previous_;
    /// Smoothed squared differences over one and over two intervals.
    double over_one_ = 0;
    double over_two_ = 0;
    std::vector<double> speeds_;
    bool burst_ = false;
    std::optional<core::time_point> last_;
    std::uint64_t rejected_ = 0;
};

} // namespace currantpitch::expertmaps
