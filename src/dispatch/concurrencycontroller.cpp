#include "dispatch/concurrencycontroller.h"

#include "dispatch/dispatchconstants.h"

#include <algorithm>

namespace currantpitch::dispatch {

namespace {

/// Bounds on the change of the limit in one interval: the smallest factor of a decrease, and the
/// increase in requests.
constexpr double min_decrease_factor = 0.75;
constexpr double limit_increase = 0.5;

} // namespace

concurrency_controller::concurrency_controller(unsigned concurrency)
    : max_limit_(std::max(1.0, static_cast<double>(concurrency))), limit_(max_limit_)
{
}

void concurrency_controller::set_concurrency(unsigned concurrency)
{
    const double max_limit = std::max(1.0, static_cast<double>(concurrency));
    if (max_limit != max_limit_) {
        max_limit_ = max_limit;
        limit_ = max_limit;
    }
}

void concurrency_controller::observe(core::duration gap, core::duration target,
                                     core::time_point now)
{
    if (now - interval_started_at_ >= limit_adjustment_interval) {
        adjust();
        interval_started_at_ = now;
    }
    gap_sum_ += gap;
    target_sum_ += target;
    ++sample_count_;
}

void concurrency_controller::adjust()
{
    if (sample_count_ >= min_gap_samples) {
        mean_gap_ = gap_sum_ / static_cast<std::int64_t>(sample_count_);
        const double target = gap_target_fraction * static_cast<double>(target_sum_.count());
        const double ratio = target / std::max(1.0, static_cast<double>(gap_sum_.count()));
        if (ratio < 1) {
            limit_ *= std::max(ratio, min_decrease_factor);
        }
        else {
            limit_ += limit_increase;
        }
        limit_ = std::clamp(limit_, std::max(1.0, min_slot_fraction * max_limit_), max_limit_);
    }
    gap_sum_ = {};
    target_sum_ = {};
    sample_count_ = 0;
}

} // namespace currantpitch::dispatch
