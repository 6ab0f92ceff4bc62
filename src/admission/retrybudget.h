#pragma once

#include "core/runtimeclock.h"

#include <random>

namespace currantpitch::admission {

/// Keeps retries to a part of first attempts, so that a failing service is not flooded.
class retry_budget {
public:
    /// Counts a first attempt, which earns a part of a retry.
    void on_first_attempt();
    /// Acquires one retry from the budget; false when none is left.
    bool try_acquire_retry();

private:
    double saved_ = 3;
};

/// Delay before the given retry, counted from 1, with jitter over its upper half.
std::chrono::milliseconds retry_delay(int retry, std::mt19937_64& random);

} // namespace currantpitch::admission
