#pragma once

#include "core/runtimeclock.h"

#include <chrono>

namespace currantpitch::dispatch {

/// Adjusts the limit of concurrent requests for each engine of a group, so that the gap between the
/// events of a stream stays below its target. All engines of a group advance together, so every
/// entry observes the same gaps and the entries' limits change alike.
class concurrency_controller {
public:
    /// Takes the number of slots of an engine. The limit stays between min_slot_fraction of them
    /// and all of them.
    explicit concurrency_controller(unsigned concurrency);
    /// Sets the number of slots and resets the limit to it. Has no effect if the number is
    /// unchanged.
    void set_concurrency(unsigned concurrency);

    /// Records the gap between two events of one stream, and its target.
    void observe(core::duration gap, core::duration target, core::time_point now);
    /// Maximum number of requests that one engine should run.
    double limit() const { return limit_; }
    /// Mean gap over the last interval with enough samples; zero before the first.
    core::duration mean_gap() const { return mean_gap_; }

private:
    void adjust();

    double max_limit_;
    double limit_;
    core::time_point interval_started_at_;
    core::duration gap_sum_{};
    core::duration target_sum_{};
    std::size_t sample_count_ = 0;
    core::duration mean_gap_{};
};

} // namespace currantpitch::dispatch
