#include "dispatch/pacecontroller.h"

#include "dispatch/dispatchconstants.h"

#include <algorithm>

namespace currantpitch::dispatch {

namespace {

/// Largest change of the limit in one interval, down as a part and up in requests.
constexpr double largest_decrease = 0.75;
constexpr double increase = 0.5;

} // namespace

pace_controller::pace_controller(unsigned concurrency)
    : most_(std::max(1.0, static_cast<double>(concurrency))), limit_(most_)
{
}

void pace_controller::set_concurrency(unsigned concurrency)
{
    const double most = std::max(1.0, static_cast<double>(concurrency));
    if (most != most_) {
        most_ = most;
        limit_ = most;
    }
}

void pace_controller::observe(core::duration gap, core::duration target, core::time_point now)
{
    if (now - interval_began_ >= pace_interval) {
        adjust();
        interval_began_ = now;
    }
    gaps_ += gap;
    targets_ += target;
    ++samples_;
}

void pace_controller::adjust()
{
    if (samples_ >= fewest_pace_samples) {
        mean_gap_ = gaps_ / static_cast<std::int64_t>(samples_);
        const double wanted = gap_target_share * static_cast<double>(targets_.count());
        const double ratio = wanted / std::max(1.0, static_cast<double>(gaps_.count()));
        if (ratio < 1) {
            limit_ *= std::max(ratio, largest_decrease);
        }
        else {
            limit_ += increase;
        }
        limit_ = std::clamp(limit_, std::max(1.0, least_slot_share * most_), most_);
    }
    gaps_ = {};
    targets_ = {};
    samples_ = 0;
}

} // namespace currantpitch::dispatch
