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
                       [](double c) { return c >= 0 && c <= most_tokens; });
}

void follow(std::vector<double>& mean, const std::vector<double>& newest, double weight)
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
    const bool ranks_fit =
        sample.rank_tokens.size() == sample.rank_step_times.size() &&
        (sample.rank_tokens.empty() || sample.rank_tokens.size() == speeds_.size());
    if (sample.expert_tokens.size() != mean_.size() || !ranks_fit) {
        return error{errc::malformed, "the report does not have the group's size"};
    }
    if (!plausible(sample.expert_tokens) || !plausible(sample.rank_tokens)) {
        return error{errc::malformed, "the report has impossible counts"};
    }
    if (sample.at > now + max_lead_time || now - sample.at > report_lifetime) {
        return error{errc::stale, "the report's date is out of bounds"};
    }
    if (last_ && sample.at <= *last_) {
        return error{errc::stale, "the report is not newer than the last"};
    }
    return core::ok();
}

core::result<void> popularity_tracker::add(const group_sample& sample, core::time_point now)
{
    core::result<void> fits = check(sample, now);
    if (!fits) {
        ++rejected_;
        return fits;
    }
    follow_popularity(sample.expert_tokens);
    follow_speeds(sample);
    last_ = sample.at;
    return core::ok();
}

void popularity_tracker::follow_popularity(const std::vector<double>& tokens)
{
    const double total = std::accumulate(tokens.begin(), tokens.end(), 0.0);
    if (total <= 0) {
        return;
    }
    std::vector<double> share(tokens);
    for (double& s : share) {
        s /= total;
    }
    if (!last_) {
        mean_ = share;
        previous_ = share;
        return;
    }
    burst_ = distance(mean_, share) > burst_distance;
    const double weight = burst_ ? 1 : weight_of_newest(share);
    follow(mean_, share, weight);
    if (burst_) {
        // What differed across the burst says nothing of noise and drift.
        before_previous_.clear();
        previous_ = std::move(share);
        return;
    }
    before_previous_ = std::exchange(previous_, std::move(share));
}

// The gain of a filter for a mean that drifts at random and is seen with noise. The difference of
// two samples is the drift of the intervals between them plus twice the noise.
double popularity_tracker::weight_of_newest(const std::vector<double>& share)
{
    const double one = squared_distance(share, previous_);
    if (before_previous_.empty()) {
        return first_weight;
    }
    const double two = squared_distance(share, before_previous_);
    const bool begun = over_two_ > 0;
    over_one_ += (begun ? difference_weight : 1) * (one - over_one_);
    over_two_ += (begun ? difference_weight : 1) * (two - over_two_);
    const double drift = std::max(over_two_ - over_one_, 0.0);
    const double noise = std::max((over_one_ - drift) / 2, 0.0);
    if (noise <= 0) {
        return 1;
    }
    const double spread = (drift + std::sqrt(drift * drift + 4 * drift * noise)) / 2;
    return std::clamp(spread / (spread + noise), least_weight, 1.0);
}

void popularity_tracker::follow_speeds(const group_sample& sample)
{
    std::vector<double> rates;
    for (std::size_t i = 0; i < sample.rank_tokens.size(); ++i) {
        const double seconds = std::chrono::duration<double>(sample.rank_step_times[i]).count();
        if (sample.rank_tokens[i] > 0 && seconds > 0) {
            rates.push_back(sample.rank_tokens[i] / seconds);
        }
    }
    // A comparison needs most of the ranks.
    if (rates.size() < speeds_.size() || rates.empty()) {
        return;
    }
    std::vector<double> sorted(rates);
    std::nth_element(sorted.begin(),
                     sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2), sorted.end());
    const double median = sorted[sorted.size() / 2];
    for (std::size_t i = 0; i < rates.size(); ++i) {
        const double relative = std::clamp(rates[i] / median, 0.05, 4.0);
        const double off = relative - speeds_[i];
        speeds_[i] += (std::abs(off) > speed_jump ? jump_weight : speed_weight) * off;
    }
}

std::optional<popularity_estimate> popularity_tracker::estimate(core::time_point now) const
{
    if (!last_ || now - *last_ > report_lifetime) {
        return std::nullopt;
    }
    popularity_estimate e{mean_, speeds_, burst_, *last_};
    const double total = std::accumulate(e.expert_share.begin(), e.expert_share.end(), 0.0);
    if (total <= 0) {
        return std::nullopt;
    }
    // Small differences in speed are noise; planning by them would move experts for nothing.
    for (double& s : e.rank_speed) {
        s = std::abs(s - 1) < 0.1 ? 1 : s;
    }
    return e;
}

} // namespace currantpitch::expertmaps
