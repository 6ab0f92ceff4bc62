#include "expertmaps/internal/placementsearch.h"

#include "expertmaps/expertmapsconstants.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <queue>
#include <set>

namespace currantpitch::expertmaps {

namespace {

double speed_of(const std::vector<double>& speeds, std::size_t rank)
{
    return rank < speeds.size() && speeds[rank] > 0 ? speeds[rank] : 1;
}

bool holds(const expert_map& map, std::size_t rank, std::uint32_t expert)
{
    return std::any_of(map.ranks[rank].begin(), map.ranks[rank].end(),
                       [expert](const replica& r) { return r.expert == expert; });
}

std::vector<std::uint32_t> copies_of(const expert_map& map)
{
    std::vector<std::uint32_t> copies(map.experts, 0);
    for (const std::vector<replica>& replicas : map.ranks) {
        for (const replica& r : replicas) {
            ++copies[r.expert];
        }
    }
    return copies;
}

/// Returns the number of replicas of each expert. Spare slots go to the experts with the most
/// tokens per replica.
std::vector<std::uint32_t> allocate_replicas(const map_shape& shape,
                                             const std::vector<double>& expert_tokens)
{
    struct expert_load {
        double tokens = 0;
        std::uint32_t expert = 0;
        bool operator<(const expert_load& other) const { return tokens < other.tokens; }
    };
    std::vector<std::uint32_t> copies(shape.experts, 1);
    std::priority_queue<expert_load> largest;
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
        largest.push({expert_tokens[expert], expert});
    }
    const std::uint64_t slots = std::uint64_t{shape.ranks} * shape.slots_per_rank;
    for (std::uint64_t used = shape.experts; used < slots && !largest.empty(); ++used) {
        const expert_load top = largest.top();
        largest.pop();
        if (copies[top.expert] < shape.ranks) {
            ++copies[top.expert];
            largest.push({expert_tokens[top.expert] / copies[top.expert], top.expert});
        }
    }
    return copies;
}

/// Returns the sum of the twelfth powers of the relative times. The high power makes the slowest
/// ranks dominate the sum.
double norm_of(const std::vector<double>& times, double ideal)
{
    double sum = 0;
    for (const double t : times) {
        const double cubed = t / ideal * (t / ideal) * (t / ideal);
        const double sixth = cubed * cubed;
        sum += sixth * sixth;
    }
    return sum;
}

/// Possible move of an expert to a target rank.
struct candidate_move {
    std::uint32_t expert = 0;
    std::size_t target = 0;
    /// Slot of the target to replace; the number of its replicas when a slot is free.
    std::size_t slot = 0;
};

/// Returns a free slot of a rank or else the slot with the lowest load among replicas whose experts
/// have further copies. Returns nothing when every replica is the only one of its expert.
std::optional<std::size_t> find_replaceable_slot(const map_shape& shape, const expert_map& map,
                                                 std::size_t rank,
                                                 const std::vector<double>& tokens,
                                                 const std::vector<std::uint32_t>& copies)
{
    const std::vector<replica>& replicas = map.ranks[rank];
    if (replicas.size() < shape.slots_per_rank) {
        return replicas.size();
    }
    std::optional<std::size_t> best;
    for (std::size_t slot = 0; slot < replicas.size(); ++slot) {
        const bool spare = copies[replicas[slot].expert] > 1;
        const double load = replicas[slot].weight * tokens[replicas[slot].expert];
        const bool better = !best || load < replicas[*best].weight * tokens[replicas[*best].expert];
        if (spare && better) {
            best = slot;
        }
    }
    return best;
}

std::vector<candidate_move> candidates(const map_shape& shape, const expert_map& map,
                                       const std::vector<double>& tokens,
                                       const std::vector<double>& times)
{
    const std::vector<std::uint32_t> copies = copies_of(map);
    std::vector<std::size_t> order(times.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&times](std::size_t a, std::size_t b) { return times[a] < times[b]; });
    const std::size_t slowest = order.back();
    std::vector<replica> heaviest = map.ranks[slowest];
    std::sort(heaviest.begin(), heaviest.end(), [&tokens](const replica& a, const replica& b) {
        return a.weight * tokens[a.expert] > b.weight * tokens[b.expert];
    });
    heaviest.resize(std::min(heaviest.size(), move_candidate_experts));
    std::vector<candidate_move> list;
    for (const replica& r : heaviest) {
        std::size_t added = 0;
        for (const std::size_t target : order) {
            if (added == move_candidate_ranks || target == slowest) {
                break;
            }
            if (holds(map, target, r.expert)) {
                continue;
            }
            const std::optional<std::size_t> slot =
                find_replaceable_slot(shape, map, target, tokens, copies);
            if (slot) {
                list.push_back({r.expert, target, *slot});
                ++added;
            }
        }
    }
    return list;
}

expert_map after_move(const expert_map& map, const candidate_move& move)
{
    expert_map next = map;
    std::vector<replica>& target_replicas = next.ranks[move.target];
    if (move.slot == target_replicas.size()) {
        target_replicas.push_back({move.expert, 0});
        return next;
    }
    // The remaining replicas of the replaced expert take over its tokens. The caller balances the
    // weights afterwards.
    const replica replaced = target_replicas[move.slot];
    target_replicas[move.slot] = {move.expert, 0};
    for (std::vector<replica>& replicas : next.ranks) {
        for (replica& r : replicas) {
            if (r.expert == replaced.expert) {
                r.weight = replaced.weight < 1 ? r.weight / (1 - replaced.weight) : 0;
            }
        }
    }
    return next;
}

} // namespace

expert_map place_from_scratch(const map_shape& shape, const std::vector<double>& expert_tokens,
                              const std::vector<double>& speeds)
{
    const std::vector<std::uint32_t> copies = allocate_replicas(shape, expert_tokens);
    std::vector<std::uint32_t> order(shape.experts);
    std::iota(order.begin(), order.end(), 0U);
    std::sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
        return expert_tokens[a] / copies[a] > expert_tokens[b] / copies[b];
    });
    expert_map map{core::map_version{1}, shape.experts, {}};
    map.ranks.resize(shape.ranks);
    std::vector<double> loads(shape.ranks, 0);
    // Place one copy of each expert first, so that further copies cannot take the slots needed for
    // it.
    for (const bool first_copies : {true, false}) {
        for (const std::uint32_t expert : order) {
            const std::uint32_t wanted = first_copies ? 1 : copies[expert] - 1;
            for (std::uint32_t i = 0; i < wanted; ++i) {
                std::optional<std::size_t> best;
                for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
                    const bool possible =
                        map.ranks[rank].size() < shape.slots_per_rank && !holds(map, rank, expert);
                    const bool better = !best || loads[rank] / speed_of(speeds, rank) <
                                                     loads[*best] / speed_of(speeds, *best);
                    if (possible && better) {
                        best = rank;
                    }
                }
                if (best) {
                    map.ranks[*best].push_back({expert, 0});
                    loads[*best] += expert_tokens[expert] / copies[expert];
                }
            }
        }
    }
    const std::vector<std::uint32_t> placed = copies_of(map);
    for (std::vector<replica>& replicas : map.ranks) {
        for (replica& r : replicas) {
            r.weight = 1.0 / placed[r.expert];
        }
    }
    balance_weights(map, expert_tokens, speeds);
    return map;
}

expert_map match_ranks(const expert_map& wanted, const expert_map& current,
                       const std::vector<double>& speeds)
{
    const std::size_t ranks = wanted.ranks.size();
    std::vector<std::set<std::uint32_t>> current_experts(ranks);
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        for (const replica& r : current.ranks[rank]) {
            current_experts[rank].insert(r.expert);
        }
    }
    expert_map matched = wanted;
    std::vector<bool> assigned(ranks, false);
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        std::optional<std::size_t> best;
        std::size_t best_shared = 0;
        for (std::size_t other = 0; other < ranks; ++other) {
            if (assigned[other] || speed_of(speeds, other) != speed_of(speeds, rank)) {
                continue;
            }
            std::size_t shared = 0;
            for (const replica& r : wanted.ranks[other]) {
                shared += current_experts[rank].count(r.expert);
            }
            if (!best || shared > best_shared) {
                best = other;
                best_shared = shared;
            }
        }
        matched.ranks[rank] = wanted.ranks[*best];
        assigned[*best] = true;
    }
    return matched;
}

std::vector<search_step> improve_step_by_step(const map_shape& shape, const expert_map& current,
                                              const std::vector<double>& expert_tokens,
                                              const std::vector<double>& speeds, int max_moves)
{
    const double ideal = ideal_time(expert_tokens, speeds, shape.ranks);
    expert_map map = current;
    balance_weights(map, expert_tokens, speeds);
    std::vector<double> times = rank_times(map, expert_tokens, speeds);
    double slowest = *std::max_element(times.begin(), times.end());
    double norm = norm_of(times, ideal);
    std::vector<search_step> steps = {{map, slowest, 0}};
    for (int move = 0; move < max_moves && slowest > ideal * target_skew; ++move) {
        std::optional<expert_map> best;
        double best_norm = norm;
        for (const candidate_move& c : candidates(shape, map, expert_tokens, times)) {
            expert_map next = after_move(map, c);
            balance_weights(next, expert_tokens, speeds, trial_sweeps);
            const double next_norm = norm_of(rank_times(next, expert_tokens, speeds), ideal);
            if (next_norm < best_norm) {
                best_norm = next_norm;
                best = std::move(next);
            }
        }
        if (!best) {
            break;
        }
        map = std::move(*best);
        balance_weights(map, expert_tokens, speeds, chosen_move_sweeps);
        times = rank_times(map, expert_tokens, speeds);
        norm = std::min(best_norm, norm_of(times, ideal));
        slowest = *std::max_element(times.begin(), times.end());
        steps.push_back({map, slowest, moved_replicas(current, map)});
    }
    return steps;
}

} // namespace currantpitch::expertmaps
