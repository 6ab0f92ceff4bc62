#pragma once

#include "core/runtimeclock.h"

#include <chrono>

namespace currantpitch::dispatch {

/// Steers how many requests each engine of a group runs, so that the pause between the events of a
/// stream stays below its target. All engines of a group advance together, so that every entry sees
/// the same pauses and the entries' limits move alike.
class pace_controller {
public:
    /// The limit lies between a part of the engines' slots and all of them.
    explicit pace_controller(unsigned concurrency);
    /// Takes another number of slots; the limit begins at all of them. Nothing happens when it is
    /// the same.
    void set_concurrency(unsigned concurrency);

    /// A pause between two events of one stream, and the longest that is on time.
    void observe(core::duration gap, core::duration target, core::time_point now);
    /// Requests that one engine should run at most.
    double limit() const { return limit_; }
    /// Mean pause over the last full interval; zero before any.
    core::duration mean_gap() const { return mean_gap_; }

private:
    void adjust();

    double most_;
    double limit_;
    core::time_point interval_began_;
    core::duration gaps_{};
    core::duration targets_{};
    std::size_t samples_ = 0;
    core::duration mean_gap_{};
};

} // namespace currantpitch::dispatch
