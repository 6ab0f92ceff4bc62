#include "overload/outage.h"

#include "overload/overloadconstants.h"

#include <algorithm>

namespace currantpitch::overload {

void outage::on_refused(const core::endpoint_id& endpoint, core::time_point now)
{
    if (refused_by_.empty()) {
        began_at_ = now;
        next_probe_ = now + probe_interval;
    }
    refused_by_.insert(endpoint);
}

std::optional<core::duration> outage::on_progress(core::time_point now)
{
    const bool ended = down(now);
    last_progress_ = now;
    refused_by_.clear();
    if (!ended) {
        return std::nullopt;
    }
    const core::duration lasted =
        std::clamp<core::duration>(now - began_at_, min_outage, max_outage);
    mean_duration_ =
        mean_duration_ == core::duration::zero() ? lasted : (mean_duration_ + lasted) / 2;
    return now - began_at_;
}

void outage::on_waiting(int priority, int change)
{
    if (change > 0) {
        waiting_.insert(priority);
        return;
    }
    const auto found = waiting_.find(priority);
    if (found != waiting_.end()) {
        waiting_.erase(found);
    }
}

core::time_point outage::confirmed_at() const
{
    return std::max(last_progress_ + max_progress_pause, began_at_);
}

core::time_point outage::expected_end(core::time_point now) const
{
    const core::duration expected =
        mean_duration_ == core::duration::zero() ? initial_outage : mean_duration_;
    return std::max(began_at_ + expected, now + probe_interval);
}

bool outage::try_probe(int priority, core::time_point now)
{
    if (now < next_probe_ || more_urgent_waits(priority)) {
        return false;
    }
    next_probe_ = now + probe_interval;
    return true;
}

std::chrono::milliseconds outage::retry_after(core::time_point now)
{
    const std::chrono::milliseconds wait =
        std::chrono::ceil<std::chrono::milliseconds>(expected_end(now) - now);
    std::uniform_int_distribution<std::int64_t> spread(0, return_spread.count());
    return std::min(wait, max_outage) + std::chrono::milliseconds(spread(random_));
}

core::duration outage::patience(std::chrono::milliseconds target_latency)
{
    return std::max<core::duration>(min_patience, patience_in_targets * target_latency) -
           patience_margin;
}

} // namespace currantpitch::overload
