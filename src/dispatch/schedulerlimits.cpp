// The part of the scheduler that follows what endpoints say of the requests that they accept, and
// tells callers when to return.
#include "dispatch/scheduler.h"

#include "backpressure/backpressureconstants.h"
#include "dispatch/dispatchconstants.h"

#include <algorithm>

namespace currantpitch::dispatch {

namespace {

/// Bounds on the retry delay that is sent to a refused caller.
constexpr std::chrono::milliseconds min_retry_after{200};
constexpr std::chrono::milliseconds max_retry_after{2000};

} // namespace

bool scheduler::limited(const endpoint_state& s, core::time_point now) const
{
    return signals_ != nullptr && signals_->accepted_rate(s.properties.endpoint, now).has_value();
}

double scheduler::usable_slots(const endpoint_state& s, core::time_point now) const
{
    if (!s.available) {
        return 0;
    }
    return limited(s, now) ? s.own_requests + peer_load(s.properties.endpoint)
                           : std::min(limit_, static_cast<double>(s.properties.concurrency));
}

backpressure::admission scheduler::admission_of(const endpoint_state& s, core::time_point now) const
{
    return signals_ == nullptr ? backpressure::admission::unlimited
                               : signals_->admission_of(s.properties.endpoint, now);
}

void scheduler::request_permit(const core::endpoint_id& endpoint, core::time_point now)
{
    if (signals_ != nullptr) {
        signals_->request_permit(endpoint, backpressure::permit_wait, now);
    }
}

bool scheduler::refused_at_once(const core::endpoint_id& endpoint, core::time_point now) const
{
    return signals_ != nullptr && signals_->cold(endpoint, now) &&
           signals_->admission_of(endpoint, now) == backpressure::admission::refused;
}

bool scheduler::awaits_permit(const core::endpoint_id& endpoint, core::time_point now) const
{
    return signals_ != nullptr &&
           signals_->admission_of(endpoint, now) == backpressure::admission::pending;
}

core::time_point scheduler::earliest_start(const dispatch_request& request,
                                           core::time_point now) const
{
    core::time_point earliest = core::time_point::max();
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        if (!entry.second.available || request.excluded.contains(entry.first)) {
            continue;
        }
        earliest = std::min(
            earliest, signals_ == nullptr ? now : signals_->earliest_admission(entry.first, now));
        if (earliest <= now) {
            break;
        }
    }
    return earliest;
}

void scheduler::request_permits(core::time_point now)
{
    if (signals_ == nullptr || waiting_.empty()) {
        return;
    }
    std::vector<core::endpoint_id> requestable;
    std::size_t pending = 0;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        const backpressure::admission a = admission_of(entry.second, now);
        pending += a == backpressure::admission::pending ? 1 : 0;
        if (entry.second.available && a == backpressure::admission::requestable) {
            requestable.push_back(entry.first);
        }
    }
    if (requestable.empty()) {
        return;
    }
    std::shuffle(requestable.begin(), requestable.end(), random_);
    const std::chrono::milliseconds max_wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::max(waiting_.begin()->request.deadline - now, core::duration::zero()));
    for (const core::endpoint_id& endpoint : requestable) {
        if (pending >= waiting_.size()) {
            break;
        }
        signals_->request_permit(endpoint, max_wait, now);
        // A permit of a cold endpoint may be refused at once because this entry has no part in it.
        pending += refused_at_once(endpoint, now) ? 0 : 1;
    }
}

std::chrono::milliseconds scheduler::retry_after() const
{
    // On average a slot becomes free every mean service time divided by the number of slots. The
    // requests that are already waiting start first.
    double slots = 0;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        // Cold times end before most callers return.
        slots += usable_slots(entry.second, core::time_point::max());
    }
    const double queue_length = static_cast<double>(waiting_.size() + 1);
    const std::chrono::milliseconds expected(
        static_cast<std::int64_t>(mean_service_ms_ * queue_length / std::max(slots, 1.0)));
    return std::clamp(expected, min_retry_after, max_retry_after);
}

std::chrono::milliseconds scheduler::retry_after_limit(core::time_point now)
{
    double per_second = 0;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        per_second += entry.second.available && signals_ != nullptr
                          ? signals_->request_limit(entry.first).value_or(0)
                          : 0;
    }
    const core::time_point earliest = std::max(now, earliest_start({}, now));
    if (per_second == 0) {
        // The endpoints want no requests for a time. The callers return spread over a part of it.
        const std::chrono::milliseconds wait = std::chrono::ceil<std::chrono::milliseconds>(
            std::min<core::duration>(earliest - now, backpressure::max_quiet_time));
        std::uniform_int_distribution<std::int64_t> spread(0, wait.count() / 4 +
                                                                  min_retry_after.count());
        return wait + std::chrono::milliseconds(spread(random_));
    }
    const double own_per_second = per_second / static_cast<double>(process_count_);
    const core::duration interval = std::min<core::duration>(
        std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(1 / std::max(own_per_second, 1e-3))),
        max_retry_after);
    last_return_ = std::max(last_return_ + interval, earliest);
    if (last_return_ - now > max_retry_after) {
        // More callers wait than the limits allow: they return spread over the last half.
        last_return_ = now + max_retry_after;
        std::uniform_int_distribution<std::int64_t> spread(max_retry_after.count() / 2,
                                                           max_retry_after.count());
        return std::chrono::milliseconds(spread(random_));
    }
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(last_return_ - now),
                    min_retry_after);
}

} // namespace currantpitch::dispatch
