#pragma once

#include "core/finding.h"
#include "core/identifiers.h"

#include <cstdint>
#include <vector>

namespace currantpitch::expertmaps {

/// One copy of an expert on a rank. The weight is the fraction of the expert's tokens that this
/// copy processes.
struct replica {
    std::uint32_t expert = 0;
    double weight = 0;

    friend bool operator==(const replica&, const replica&) = default;
};

/// Assignment of expert replicas to ranks. All layers of a group use the same map.
struct expert_map {
    core::map_version version;
    std::uint32_t experts = 0;
    /// Replicas by rank.
    std::vector<std::vector<replica>> ranks;

    friend bool operator==(const expert_map&, const expert_map&) = default;
};

/// Dimensions of a group's maps.
struct map_shape {
    std::uint32_t ranks = 0;
    std::uint32_t experts = 0;
    std::uint32_t slots_per_rank = 0;
};

/// Returns a map that does not depend on popularity. Experts are placed on the ranks round-robin
/// until all slots are filled, and the replicas of an expert have equal weights.
expert_map initial_map(const map_shape& shape);

/// Returns all problems of a map: wrong dimensions, unknown or missing experts, invalid weights,
/// too many replicas on a rank and experts that occur more than once on a rank.
core::findings validate(const expert_map& map, const map_shape& shape);

/// Returns the time that each rank needs for the tokens of a step. The unit is the time for one
/// token at speed 1. Speeds are relative to a healthy rank; a missing or non-positive speed counts
/// as 1.
std::vector<double> rank_times(const expert_map& map, const std::vector<double>& expert_tokens,
                               const std::vector<double>& speeds);

/// Returns the ratio of the maximum rank time to the mean; 1 without load.
double skew_of(const std::vector<double>& times);

/// Returns the lower bound of the maximum rank time: all tokens divided by the sum of all speeds.
double ideal_time(const std::vector<double>& expert_tokens, const std::vector<double>& speeds,
                  std::size_t ranks);

/// Adjusts the weights of all replicas to equalize the rank times as far as the placement allows.
/// Replicas are not moved. Fewer sweeps take less time but may end before the weights have
/// converged.
void balance_weights(expert_map& map, const std::vector<double>& expert_tokens,
                     const std::vector<double>& speeds, int max_sweeps);
void balance_weights(expert_map& map, const std::vector<double>& expert_tokens,
                     const std::vector<double>& speeds);

/// Returns the number of replicas of the second map that the first does not have on the same rank.
std::size_t moved_replicas(const expert_map& from, const expert_map& to);

} // namespace currantpitch::expertmaps
