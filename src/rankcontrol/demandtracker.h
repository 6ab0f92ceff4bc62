#pragma once

#include "core/runtimeclock.h"
#include "rankcontrol/rankstate.h"

#include <cstdint>
#include <vector>

namespace currantpitch::rankcontrol {

/// Half life of what the tracker knows while demand is steady. The requests that run at one time
/// are few, so that a shorter one follows single requests.
inline constexpr std::chrono::milliseconds demand_half_life{600};
/// Distance of new counts from what is known, from 0 to 2, at which demand counts as shifted: what
/// is known before counts little from then on.
inline constexpr double shift_distance = 0.55;

/// How the tokens of a group are spread over the experts of each layer, from the counts that the
/// ranks report.
class demand_tracker {
public:
    explicit demand_tracker(const layout_shape& shape);

    /// Adds what one rank's requests chose. Counts of another size are ignored: false.
    bool add(const expert_counts& chosen);
    /// Takes the counts since the last call into account. Called at a steady interval.
    void advance(core::duration interval);

    /// Part of each layer's tokens that goes to each expert; empty before any tokens.
    const expert_counts& shares() const { return shares_; }
    /// Distance of the last interval's counts from what was known before; the largest of all
    /// layers.
    double last_distance() const { return last_distance_; }
    /// Tokens counted in the last interval, in one layer.
    double last_tokens() const { return last_tokens_; }

private:
    layout_shape shape_;
    expert_counts pending_;
    expert_counts weights_;
    expert_counts shares_;
    double last_distance_ = 0;
    double last_tokens_ = 0;
};

} // namespace currantpitch::rankcontrol
