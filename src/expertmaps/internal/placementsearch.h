#pragma once

#include "expertmaps/expertmap.h"

#include <vector>

namespace currantpitch::expertmaps {

/// A placement reached after some moves, with the time of its slowest rank.
struct search_step {
    expert_map map;
    double slowest = 0;
    std::size_t moves = 0;
};

/// Places replicas from nothing: hot experts get more of them, heavy ones are placed first.
expert_map place_from_scratch(const map_shape& shape, const std::vector<double>& expert_tokens,
                              const std::vector<double>& speeds);

/// Renames the ranks of a placement so that it shares as many replicas as possible with the
/// present one. Only ranks of equal speed change places.
expert_map match_ranks(const expert_map& wanted, const expert_map& present,
                       const std::vector<double>& speeds);

/// Moves replicas one at a time from the slowest ranks to fast ones. The steps begin with the
/// present placement at its best weights.
std::vector<search_step> improve_step_by_step(const map_shape& shape, const expert_map& present,
                                              const std::vector<double>& expert_tokens,
                                              const std::vector<double>& speeds, int max_moves);

} // namespace currantpitch::expertmaps
