#include "expertmaps/expertmap.h"

#include "expertmaps/expertmapsconstants.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace currantpitch::expertmaps {

namespace {

constexpr double weight_tolerance = 1e-6;

double speed_of(const std::vector<double>& speeds, std::size_t rank)
{
    return rank < speeds.size() && speeds[rank] > 0 ? speeds[rank] : 1;
}

/// Rank and slot of one replica.
struct replica_position {
    std::uint32_t rank = 0;
    std::uint32_t slot = 0;
};

/// Positions of all replicas, grouped by expert.
struct replica_index {
    std::vector<replica_position> positions;
    /// Offset of each expert's first position, followed by the total number of positions.
    std::vector<std::uint32_t> offsets;

    std::span<replica_position> positions_of(std::uint32_t expert)
    {
        return std::span<replica_position>(positions).subspan(offsets[expert], offsets[expert + 1] -
                                                                                   offsets[expert]);
    }
};

replica_index build_replica_index(const expert_map& map)
{
    replica_index index;
    index.offsets.assign(map.experts + 1, 0);
    for (const std::vector<replica>& replicas : map.ranks) {
        for (const replica& r : replicas) {
            ++index.offsets[r.expert + 1];
        }
    }
    std::partial_sum(index.offsets.begin(), index.offsets.end(), index.offsets.begin());
    index.positions.resize(index.offsets.back());
    std::vector<std::uint32_t> next(index.offsets.begin(), index.offsets.end() - 1);
    for (std::uint32_t rank = 0; rank < map.ranks.size(); ++rank) {
        for (std::uint32_t slot = 0; slot < map.ranks[rank].size(); ++slot) {
            index.positions[next[map.ranks[rank][slot].expert]++] = {rank, slot};
        }
    }
    return index;
}

/// Distributes the tokens of one expert over its ranks by water-filling, so that the ranks that
/// receive tokens finish at the same time. On entry, loads excludes the tokens of this expert; on
/// return, it includes them.
void distribute_by_water_filling(expert_map& map, std::span<replica_position> positions,
                                 double tokens, std::vector<double>& loads,
                                 const std::vector<double>& speeds)
{
    std::sort(positions.begin(), positions.end(),
              [&](const replica_position& a, const replica_position& b) {
                  return loads[a.rank] / speed_of(speeds, a.rank) <
                         loads[b.rank] / speed_of(speeds, b.rank);
              });
    double level = 0;
    double load = 0;
    double speed = 0;
    std::size_t used = 0;
    while (used < positions.size()) {
        load += loads[positions[used].rank];
        speed += speed_of(speeds, positions[used].rank);
        ++used;
        level = (load + tokens) / speed;
        const bool next_is_above =
            used < positions.size() &&
            loads[positions[used].rank] >= level * speed_of(speeds, positions[used].rank);
        if (next_is_above) {
            break;
        }
    }
    for (std::size_t i = 0; i < positions.size(); ++i) {
        const replica_position& p = positions[i];
        const double assigned =
            i < used ? std::max(level * speed_of(speeds, p.rank) - loads[p.rank], 0.0) : 0;
        map.ranks[p.rank][p.slot].weight =
            tokens > 0 ? assigned / tokens : 1.0 / static_cast<double>(positions.size());
        loads[p.rank] += assigned;
    }
}

} // namespace

expert_map initial_map(const map_shape& shape)
{
    expert_map map{core::map_version{1}, shape.experts, {}};
    map.ranks.resize(shape.ranks);
    std::vector<std::uint32_t> copies(shape.experts, 0);
    const std::uint64_t slots = std::uint64_t{shape.ranks} * shape.slots_per_rank;
    for (std::uint64_t i = 0; i < slots; ++i) {
        const std::uint32_t expert = static_cast<std::uint32_t>(i % shape.experts);
        const std::uint64_t round = i / shape.experts;
        // Each round is shifted by one rank, so that copies of an expert are placed on different
        // ranks.
        const std::size_t rank = static_cast<std::size_t>((i + round) % shape.ranks);
        std::vector<replica>& replicas = map.ranks[rank];
        const bool already_placed =
            std::any_of(replicas.begin(), replicas.end(),
                        [expert](const replica& r) { return r.expert == expert; });
        if (replicas.size() < shape.slots_per_rank && !already_placed) {
            replicas.push_back({expert, 0});
            ++copies[expert];
        }
    }
    // The shift may leave slots free. They are filled with the experts that have the fewest copies.
    for (std::vector<replica>& replicas : map.ranks) {
        while (replicas.size() < std::min(shape.slots_per_rank, shape.experts)) {
            std::optional<std::uint32_t> least_replicated;
            for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
                const bool already_placed =
                    std::any_of(replicas.begin(), replicas.end(),
                                [expert](const replica& r) { return r.expert == expert; });
                if (!already_placed &&
                    (!least_replicated || copies[expert] < copies[*least_replicated])) {
                    least_replicated = expert;
                }
            }
            replicas.push_back({*least_replicated, 0});
            ++copies[*least_replicated];
        }
    }
    for (std::vector<replica>& replicas : map.ranks) {
        for (replica& r : replicas) {
            r.weight = 1.0 / copies[r.expert];
        }
    }
    return map;
}

core::findings validate(const expert_map& map, const map_shape& shape)
{
    core::findings problems;
    if (map.ranks.size() != shape.ranks || map.experts != shape.experts) {
        problems.push_back({"map", "has the wrong number of ranks or experts"});
        return problems;
    }
    std::vector<double> weights(shape.experts, 0);
    std::vector<std::uint32_t> copies(shape.experts, 0);
    for (std::size_t rank = 0; rank < map.ranks.size(); ++rank) {
        const std::string place = "ranks[" + std::to_string(rank) + "]";
        std::set<std::uint32_t> seen;
        if (map.ranks[rank].size() > shape.slots_per_rank) {
            problems.push_back({place, "has more replicas than slots"});
        }
        for (const replica& r : map.ranks[rank]) {
            if (r.expert >= shape.experts) {
                problems.push_back({place, "refers to an expert that does not exist"});
                continue;
            }
            if (!seen.insert(r.expert).second) {
                problems.push_back({place, "contains an expert more than once"});
            }
            if (!(r.weight >= 0 && r.weight <= 1 + weight_tolerance)) {
                problems.push_back({place, "has a replica weight outside the range 0 to 1"});
            }
            weights[r.expert] += r.weight;
            ++copies[r.expert];
        }
    }
    for (std::size_t expert = 0; expert < weights.size(); ++expert) {
        const std::string place = "experts[" + std::to_string(expert) + "]";
        if (copies[expert] == 0) {
            problems.push_back({place, "is not placed on any rank"});
        }
        else if (std::abs(weights[expert] - 1) > weight_tolerance) {
            problems.push_back({place, "has replica weights that do not add up to 1"});
        }
    }
    return problems;
}

std::vector<double> rank_times(const expert_map& map, const std::vector<double>& expert_tokens,
                               const std::vector<double>& speeds)
{
    std::vector<double> times(map.ranks.size(), 0);
    for (std::size_t rank = 0; rank < map.ranks.size(); ++rank) {
        double load = 0;
        for (const replica& r : map.ranks[rank]) {
            load += r.weight * expert_tokens[r.expert];
        }
        times[rank] = load / speed_of(speeds, rank);
    }
    return times;
}

double skew_of(const std::vector<double>& times)
{
    const double total = std::accumulate(times.begin(), times.end(), 0.0);
    if (times.empty() || total <= 0) {
        return 1;
    }
    const double mean = total / static_cast<double>(times.size());
    return *std::max_element(times.begin(), times.end()) / mean;
}

double ideal_time(const std::vector<double>& expert_tokens, const std::vector<double>& speeds,
                  std::size_t ranks)
{
    const double tokens = std::accumulate(expert_tokens.begin(), expert_tokens.end(), 0.0);
    double speed = 0;
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        speed += speed_of(speeds, rank);
    }
    return speed > 0 ? tokens / speed : 0;
}

void balance_weights(expert_map& map, const std::vector<double>& expert_tokens,
                     const std::vector<double>& speeds)
{
    balance_weights(map, expert_tokens, speeds, max_balance_sweeps);
}

void balance_weights(expert_map& map, const std::vector<double>& expert_tokens,
                     const std::vector<double>& speeds, int max_sweeps)
{
    replica_index index = build_replica_index(map);
    std::vector<double> loads(map.ranks.size(), 0);
    for (std::size_t rank = 0; rank < map.ranks.size(); ++rank) {
        for (const replica& r : map.ranks[rank]) {
            loads[rank] += r.weight * expert_tokens[r.expert];
        }
    }
    double slowest_before = 0;
    for (int sweep = 0; sweep < max_sweeps; ++sweep) {
        for (std::uint32_t expert = 0; expert < map.experts; ++expert) {
            const std::span<replica_position> expert_positions = index.positions_of(expert);
            for (const replica_position& p : expert_positions) {
                loads[p.rank] -= map.ranks[p.rank][p.slot].weight * expert_tokens[expert];
            }
            distribute_by_water_filling(map, expert_positions, expert_tokens[expert], loads,
                                        speeds);
        }
        double slowest = 0;
        for (std::size_t rank = 0; rank < loads.size(); ++rank) {
            slowest = std::max(slowest, loads[rank] / speed_of(speeds, rank));
        }
        const bool converged =
            sweep > 0 && std::abs(slowest_before - slowest) <= balance_tolerance * slowest;
        if (converged) {
            break;
        }
        slowest_before = slowest;
    }
}

std::size_t moved_replicas(const expert_map& from, const expert_map& to)
{
    std::size_t moved = 0;
    for (std::size_t rank = 0; rank < to.ranks.size(); ++rank) {
        std::set<std::uint32_t> experts_before;
        for (const replica& r : from.ranks[rank]) {
            experts_before.insert(r.expert);
        }
        for (const replica& r : to.ranks[rank]) {
            moved += experts_before.contains(r.expert) ? 0 : 1;
        }
    }
    return moved;
}

} // namespace currantpitch::expertmaps
