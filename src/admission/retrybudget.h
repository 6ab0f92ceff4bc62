#pragma once

#include "core/runtimeclock.h"

#include <random>

namespace currantpitch::admission {

/// Limits retries to a fraction of the first attempts, so that a failing service is not overloaded.
class retry_budget {
public:
    /// Adds retries_per_attempt to the budget.
    void on_first_attempt();
    /// Takes one retry from the budget. Returns false when none is left.
    bool try_acquire_retry();

private:
    double saved_retries_ = 3;
};

/// Returns the delay before the given retry, counted from 1. It grows exponentially up to
/// max_retry_delay. Random jitter shortens it by at most half.
std::chrono::milliseconds retry_delay(int retry, std::mt19937_64& random);

} // namespace currantpitch::admission
