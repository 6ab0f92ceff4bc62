#include "admission/retrywindow.h"

namespace currantpitch::admission {

std::int64_t retry_window::bucket_number_at(core::time_point t) const
{
    const core::duration length = core::duration(allowance_.window) / bucket_count;
    return t.time_since_epoch() / length;
}

retry_window::bucket& retry_window::current_bucket(core::time_point now)
{
    const std::int64_t number = bucket_number_at(now);
    bucket& b = buckets_[static_cast<std::size_t>(number) % buckets_.size()];
    if (b.number != number) {
        b = bucket{.number = number};
    }
    return b;
}

retry_window::bucket retry_window::window_totals(core::time_point now) const
{
    const std::int64_t current = bucket_number_at(now);
    bucket total;
    for (const bucket& b : buckets_) {
        if (b.number < 0 || current - b.number > static_cast<std::int64_t>(bucket_count)) {
            continue;
        }
        total.retries += b.retries;
        // Requests in a bucket that has partly left the window no longer count towards the
        // allowance, while its retries still count against it.
        if (current - b.number < static_cast<std::int64_t>(bucket_count)) {
            total.requests += b.requests;
        }
    }
    return total;
}

void retry_window::on_request(core::time_point now)
{
    ++current_bucket(now).requests;
}

bool retry_window::has_retry(core::time_point now) const
{
    const bucket total = window_totals(now);
    const bool slack_available = now - started_at_ >= allowance_.window;
    const double slack =
        slack_available ? allowance_.slack / static_cast<double>(process_count_) : 0.0;
    const double allowed = retry_allowance_utilization *
                           (allowance_.ratio * static_cast<double>(total.requests) + slack);
    return static_cast<double>(total.retries) + 1 <= allowed;
}

bool retry_window::try_acquire_retry(core::time_point now)
{
    if (!has_retry(now)) {
        return false;
    }
    ++current_bucket(now).retries;
    return true;
}

} // namespace currantpitch::admission
