#pragma once

#include "core/runtimeclock.h"
#include "rankcontrol/rankstate.h"

#include <cstdint>
#include <vector>

namespace currantpitch::rankcontrol {

/// Half-life of the tracked counts while demand is steady. Few requests run at the same time, so
/// with a shorter half-life the shares would follow single requests.
inline constexpr std::chrono::milliseconds demand_half_life{600};
/// Distance between new and tracked counts, from 0 to 2, from which demand counts as shifted. The
/// tracked counts are then mostly discarded.
inline constexpr double demand_shift_threshold = 0.55;

/// Tracks the distribution of a group's tokens over the experts of each layer, from the counts that
/// the ranks report.
class demand_tracker {
public:
    explicit demand_tracker(const layout_shape& shape);

    /// Adds the expert counts of one rank's requests. Ignores counts of another shape and returns
    /// false.
    bool add(const expert_counts& counts);
    /// Merges the counts added since the last call into the shares. Called at a steady interval.
    void advance(core::duration interval);

    /// Fraction of each layer's tokens that goes to each expert; empty before the first tokens.
    const expert_counts& shares() const { return shares_; }
    /// Distance of the last interval's counts from the counts tracked before it; the maximum over
    /// all layers.
    double last_distance() const { return last_distance_; }
    /// Tokens counted in the last interval, in one layer.
    double last_tokens() const { return last_tokens_; }

private:
    layout_shape shape_;
    expert_counts pending_counts_;
    expert_counts tracked_counts_;
    expert_counts shares_;
    double last_distance_ = 0;
    double last_tokens_ = 0;
};

} // namespace currantpitch::rankcontrol
