#include "admission/retrywindow.h"

namespace currantpitch::admission {

std::int64_t retry_window::number_at(core::time_point t) const
{
    const core::duration length = core::duration(allowance_.window) / slots;
    return t.time_since_epoch() / length;
}

retry_window::slot& retry_window::present(core::time_point now)
{
    const std::int64_t number = number_at(now);
    slot& s = slots_[static_cast<std::size_t>(number) % slots_.size()];
    if (s.number != number) {
        s = slot{.number = number};
    }
    return s;
}

retry_window::slot retry_window::sum(core::time_point now) const
{
    const std::int64_t last = number_at(now);
    slot total;
    for (const slot& s : slots_) {
        if (s.number < 0 || last - s.number > static_cast<std::int64_t>(slots)) {
            continue;
        }
        total.repeats += s.repeats;
        // A slot that has partly left the window may not count for it any more.
        if (last - s.number < static_cast<std::int64_t>(slots)) {
            total.requests += s.requests;
        }
    }
    return total;
}

void retry_window::on_request(core::time_point now)
{
    ++present(now).requests;
}

bool retry_window::try_acquire_retry(core::time_point now)
{
    const slot total = sum(now);
    const bool slack_known_unspent = now - started_ >= allowance_.window;
    const double slack =
        slack_known_unspent ? allowance_.slack / static_cast<double>(sharers_) : 0.0;
    const double allowed =
        retry_allowance_used * (allowance_.ratio * static_cast<double>(total.requests) + slack);
    if (static_cast<double>(total.repeats) + 1 > allowed) {
        return false;
    }
    ++present(now).repeats;
    return true;
}

} // namespace currantpitch::admission
