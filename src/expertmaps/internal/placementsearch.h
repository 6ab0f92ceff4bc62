#pragma once

#include "expertmaps/expertmap.h"

#include <vector>

namespace currantpitch::expertmaps {

/// Placement after some moves, with the time of its slowest rank.
struct search_step {
    expert_map map;
    double slowest = 0;
    std::size_t moves = 0;
};

/// Places replicas without regard to an existing placement. Popular experts get more replicas, and
/// the replicas with the highest loads are placed first.
expert_map place_from_scratch(const map_shape& shape, const std::vector<double>& expert_tokens,
                              const std::vector<double>& speeds);

/// Permutes the ranks of a placement with a greedy search, so that it shares many replicas with the
/// current placement. Only ranks of equal speed are exchanged.
expert_map match_ranks(const expert_map& wanted, const expert_map& current,
                       const std::vector<double>& speeds);

/// Moves replicas one at a time from the slowest rank to faster ranks. The first returned step is
/// the current placement with balanced weights.
std::vector<search_step> improve_step_by_step(const map_shape& shape, const expert_map& current,
                                              const std::vector<double>& expert_tokens,
                                              const std::vector<double>& speeds, int max_moves);

} // namespace currantpitch::expertmaps
