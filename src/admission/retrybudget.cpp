#include "admission/retrybudget.h"

#include "admission/admissionconstants.h"

#include <algorithm>

namespace currantpitch::admission {

void retry_budget::on_first_attempt()
{
    saved_retries_ = std::min(saved_retries_ + retries_per_attempt, max_saved_retries);
}

bool retry_budget::try_acquire_retry()
{
    if (saved_retries_ < 1) {
        return false;
    }
    saved_retries_ -= 1;
    return true;
}

std::chrono::milliseconds retry_delay(int retry, std::mt19937_64& random)
{
    std::chrono::milliseconds delay = initial_retry_delay;
    for (int i = 1; i < retry && delay < max_retry_delay; ++i) {
        delay *= 2;
    }
    delay = std::min(delay, max_retry_delay);
    std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2, delay.count());
    return std::chrono::milliseconds(jitter(random));
}

} // namespace currantpitch::admission
