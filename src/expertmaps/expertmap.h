#pragma once

#include "core/finding.h"
#include "core/identifiers.h"

#include <cstdint>
#include <vector>

namespace currantpitch::expertmaps {

/// One copy of an expert on a rank, and the part of the expert's tokens that it takes.
struct replica {
    std::uint32_t expert = 0;
    double weight = 0;

    friend bool operator==(const replica&, const replica&) = default;
};

/// Which experts each rank holds. All layers of a group use one map.
struct expert_map {
    core::map_version version;
    std::uint32_t experts = 0;
    /// Replicas by rank.
    std::vector<std::vector<replica>> ranks;

    friend bool operator==(const expert_map&, const expert_map&) = default;
};

/// Size of a group's maps.
struct map_shape {
    std::uint32_t ranks = 0;
    std::uint32_t experts = 0;
    std::uint32_t slots_per_rank = 0;
};

/// A map without knowledge of popularity: experts in turn over the ranks, spare slots filled in
/// turn, equal weights.
expert_map initial_map(const map_shape& shape);

/// Everything wrong with a map: missing experts, weights, slots, repeated experts on a rank.
core::findings validate(const expert_map& map, const map_shape& shape);

/// Time that each rank needs for the tokens of a step, in units of tokens at speed 1. Speeds are
/// relative to a healthy rank; missing ones count as 1.
std::vector<double> rank_times(const expert_map& map, const std::vector<double>& expert_tokens,
                               const std::vector<double>& speeds);

/// Slowest over mean of the rank times; 1 when there is no load.
double skew_of(const std::vector<double>& times);

/// Smallest possible time of the slowest rank: all tokens over the sum of all speeds.
double ideal_time(const std::vector<double>& expert_tokens, const std::vector<double>& speeds,
                  std::size_t ranks);

/// Sets the weights of all replicas so that the ranks' times are as equal as the placement allows.
/// Moves no replica. Fewer sweeps take less time and may end short of the best weights.
void balance_weights(expert_map& map, const std::vector<double>& expert_tokens,
                     const std::vector<double>& speeds, int most_sweeps);
void balance_weights(expert_map& map, const std::vector<double>& expert_tokens,
                     const std::vector<double>& speeds);

/// Replicas of the second map that the first does not have on the same rank.
std::size_t moved_replicas(const expert_map& from, const expert_map& to);

} // namespace currantpitch::expertmaps
