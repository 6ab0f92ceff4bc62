#include "expertmaps/popularity.h"

#include "expertmaps/expertmapsconstants.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace currantpitch::expertmaps {

using core::errc;
using core::error;

namespace {

bool plausible(const std::vector<double>& counts)
{
    return std::all_of(counts.begin(), counts.end(),
                       [](double c) { return c >= 0 && c <= max_reported_tokens; });
}

void smooth_towards(std::vector<double>& mean, const std::vector<double>& newest, double weight)
{
    for (std::size_t i = 0; i < mean.size(); ++i) {
        mean[i] += weight * (newest[i] - mean[i]);
    }
}

double distance(const std::vector<double>& a, const std::vector<double>& b)
{
    double sum = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        sum += std::abs(a[i] - b[i]);
    }
    return sum / 2;
}

double squared_distance(const std::vector<double>& a, const std::vector<double>& b)
{
    double sum = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        sum += (a[i] - b[i]) * (a[i] - b[i]);
    }
    return sum;
}

} // namespace

popularity_tracker::popularity_tracker(std::size_t experts, std::size_t ranks)
    : mean_(experts, 0), speeds_(ranks, 1)
{
}

core::result<void> popularity_tracker::check(const group_sample& sample, core::time_point now) const
{
    const bool rank_sizes_match =
        sample.rank_tokens.size() == sample.rank_step_times.size() &&
        (sample.rank_tokens.empty() || sample.rank_tokens.size() == speeds_.size());
    if (sample.expert_tokens.size() != mean_.size() || !rank_sizes_match) {
        return error{errc::malformed, "the report has the wrong number of experts or ranks"};
    }
    if (!plausible(sample.expert_tokens) || !plausible(sample.rank_tokens)) {
        return error{errc::malformed, "the report has invalid token counts"};
    }
    if (sample.at > now + max_future_offset || now - sample.at > max_report_age) {
        return error{errc::stale, "the timestamp of the report is out of range"};
    }
    if (last_sample_at_ && sample.at <= *last_sample_at_) {
        return error{errc::stale, "the report is not newer than the previous one"};
    }
    return core::ok();
}

core::result<void> popularity_tracker::add(const group_sample& sample, core::time_point now)
{
    core::result<void> valid = check(sample, now);
    if (!valid) {
        ++rejected_;
        return valid;
    }
    update_popularity(sample.expert_tokens);
    update_speeds(sample);
    last_sample_at_ = sample.at;
    return core::ok();
}

void popularity_tracker::update_popularity(const std::vector<double>& tokens)
{
    const double total = std::accumulate(tokens.begin(), tokens.end(), 0.0);
    if (total <= 0) {
        return;
    }
    std::vector<double> share(tokens);
    for (double& s : share) {
        s /= total;
    }
    if (!last_sample_at_) {
        mean_ = share;
        previous_ = share;
        return;
    }
    burst_ = distance(mean_, share) > burst_distance;
    const double weight = burst_ ? 1 : newest_sample_weight(share);
    smooth_towards(mean_, share, weight);
    if (burst_) {
        // The difference across a burst contains no information about noise and drift.
        before_previous_.clear();
        previous_ = std::move(share);
        return;
    }
    before_previous_ = std::exchange(previous_, std::move(share));
}

// Returns the steady-state gain of a Kalman filter for a random walk that is observed with noise.
// The squared difference of two samples is the drift of the intervals between them plus twice the
// noise.
double popularity_tracker::newest_sample_weight(const std::vector<double>& share)
{
    const double one_interval = squared_distance(share, previous_);
    if (before_previous_.empty()) {
        return initial_sample_weight;
    }
    const double two_intervals = squared_distance(share, before_previous_);
    const bool initialized = two_interval_difference_ > 0;
    one_interval_difference_ +=
        (initialized ? difference_weight : 1) * (one_interval - one_interval_difference_);
    two_interval_difference_ +=
        (initialized ? difference_weight : 1) * (two_intervals - two_interval_difference_);
    const double drift = std::max(two_interval_difference_ - one_interval_difference_, 0.0);
    const double noise = std::max((one_interval_difference_ - drift) / 2, 0.0);
    if (noise <= 0) {
        return 1;
    }
    const double predicted_variance = (drift + std::sqrt(drift * drift + 4 * drift * noise)) / 2;
    return std::clamp(predicted_variance / (predicted_variance + noise), min_sample_weight, 1.0);
}

void popularity_tracker::update_speeds(const group_sample& sample)
{
    std::vector<double> rates;
    for (std::size_t i = 0; i < sample.rank_tokens.size(); ++i) {
        const double seconds = std::chrono::duration<double>(sample.rank_step_times[i]).count();
        if (sample.rank_tokens[i] > 0 && seconds > 0) {
            rates.push_back(sample.rank_tokens[i] / seconds);
        }
    }
    // Relative speeds are only comparable when every rank has a rate.
    if (rates.size() < speeds_.size() || rates.empty()) {
        return;
    }
    std::vector<double> sorted(rates);
    std::nth_element(sorted.begin(),
                     sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2), sorted.end());
    const double median = sorted[sorted.size() / 2];
    for (std::size_t i = 0; i < rates.size(); ++i) {
        const double relative = std::clamp(rates[i] / median, 0.05, 4.0);
        const double deviation = relative - speeds_[i];
        speeds_[i] +=
            (std::abs(deviation) > speed_jump_threshold ? speed_jump_weight : speed_weight) *
            deviation;
    }
}

std::optional<popularity_estimate> popularity_tracker::estimate(core::time_point now) const
{
    if (!last_sample_at_ || now - *last_sample_at_ > max_report_age) {
        return std::nullopt;
    }
    popularity_estimate e{mean_, speeds_, burst_, *last_sample_at_};
    const double total = std::accumulate(e.expert_share.begin(), e.expert_share.end(), 0.0);
    if (total <= 0) {
        return std::nullopt;
    }
    // Small differences in speed are treated as noise. Otherwise experts would be moved without
    // benefit.
    for (double& s : e.rank_speed) {
        s = std::abs(s - 1) < 0.1 ? 1 : s;
    }
    return e;
}

} // namespace currantpitch::expertmaps
