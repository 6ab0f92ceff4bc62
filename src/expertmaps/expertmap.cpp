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

/// Where the replicas of one expert are.
struct holding {
    std::uint32_t rank = 0;
    std::uint32_t slot = 0;
};

/// The replicas of all experts, one expert after another.
struct holder_table {
    std::vector<holding> all;
    /// Where each expert's replicas begin; one more entry than experts.
    std::vector<std::uint32_t> begins;

    std::span<holding> of(std::uint32_t expert)
    {
        return std::span<holding>(all).subspan(begins[expert], begins[expert + 1] - begins[expert]);
    }
};

holder_table holders_of(const expert_map& map)
{
    holder_table table;
    table.begins.assign(map.experts + 1, 0);
    for (const std::vector<replica>& held : map.ranks) {
        for (const replica& r : held) {
            ++table.begins[r.expert + 1];
        }
    }
    std::partial_sum(table.begins.begin(), table.begins.end(), table.begins.begin());
    table.all.resize(table.begins.back());
    std::vector<std::uint32_t> next(table.begins.begin(), table.begins.end() - 1);
    for (std::uint32_t rank = 0; rank < map.ranks.size(); ++rank) {
        for (std::uint32_t slot = 0; slot < map.ranks[rank].size(); ++slot) {
            table.all[next[map.ranks[rank][slot].expert]++] = {rank, slot};
        }
    }
    return table;
}

/// Spreads the tokens of one expert over its ranks so that they end at one common time. loads does
/// not contain the expert's tokens at the start and does at the end.
void fill_to_level(expert_map& map, std::span<holding> holders, double tokens,
                   std::vector<double>& loads, const std::vector<double>& speeds)
{
    std::sort(holders.begin(), holders.end(), [&](const holding& a, const holding& b) {
        return loads[a.rank] / speed_of(speeds, a.rank) < loads[b.rank] / speed_of(speeds, b.rank);
    });
    double level = 0;
    double load = 0;
    double speed = 0;
    std::size_t used = 0;
    while (used < holders.size()) {
        load += loads[holders[used].rank];
        speed += speed_of(speeds, holders[used].rank);
        ++used;
        level = (load + tokens) / speed;
        const bool next_is_above =
            used < holders.size() &&
            loads[holders[used].rank] >= level * speed_of(speeds, holders[used].rank);
        if (next_is_above) {
            break;
        }
    }
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const holding& h = holders[i];
        const double part =
            i < used ? std::max(level * speed_of(speeds, h.rank) - loads[h.rank], 0.0) : 0;
        map.ranks[h.rank][h.slot].weight =
            tokens > 0 ? part / tokens : 1.0 / static_cast<double>(holders.size());
        loads[h.rank] += part;
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
        // Each round is turned by one rank, so that copies of an expert lie on different ranks.
        const std::size_t rank = static_cast<std::size_t>((i + round) % shape.ranks);
        std::vector<replica>& held = map.ranks[rank];
        const bool repeated = std::any_of(
            held.begin(), held.end(), [expert](const replica& r) { return r.expert == expert; });
        if (held.size() < shape.slots_per_rank && !repeated) {
            held.push_back({expert, 0});
            ++copies[expert];
        }
    }
    // Turning may have left slots free; they go to the experts with the fewest copies.
    for (std::vector<replica>& held : map.ranks) {
        while (held.size() < std::min(shape.slots_per_rank, shape.experts)) {
            std::optional<std::uint32_t> fewest;
            for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
                const bool repeated =
                    std::any_of(held.begin(), held.end(),
                                [expert](const replica& r) { return r.expert == expert; });
                if (!repeated && (!fewest || copies[expert] < copies[*fewest])) {
                    fewest = expert;
                }
            }
            held.push_back({*fewest, 0});
            ++copies[*fewest];
        }
    }
    for (std::vector<replica>& held : map.ranks) {
        for (replica& r : held) {
            r.weight = 1.0 / copies[r.expert];
        }
    }
    return map;
}

core::findings validate(const expert_map& map, const map_shape& shape)
{
    core::findings problems;
    if (map.ranks.size() != shape.ranks || map.experts != shape.experts) {
        problems.push_back({"map", "does not have the group's size"});
        return problems;
    }
    std::vector<double> weights(shape.experts, 0);
    std::vector<std::uint32_t> copies(shape.experts, 0);
    for (std::size_t rank = 0; rank < map.ranks.size(); ++rank) {
        const std::string place = "ranks[" + std::to_string(rank) + "]";
        std::set<std::uint32_t> seen;
        if (map.ranks[rank].size() > shape.slots_per_rank) {
            problems.push_back({place, "holds more replicas than it has slots"});
        }
        for (const replica& r : map.ranks[rank]) {
            if (r.expert >= shape.experts) {
                problems.push_back({place, "holds an expert that does not exist"});
                continue;
            }
            if (!seen.insert(r.expert).second) {
                problems.push_back({place, "holds an expert twice"});
            }
            if (!(r.weight >= 0 && r.weight <= 1 + weight_tolerance)) {
                problems.push_back({place, "has a weight outside 0 to 1"});
            }
            weights[r.expert] += r.weight;
            ++copies[r.expert];
        }
    }
    for (std::size_t expert = 0; expert < weights.size(); ++expert) {
        const std::string place = "experts[" + std::to_string(expert) + "]";
        if (copies[expert] == 0) {
            problems.push_back({place, "is on no rank"});
        }
        else if (std::abs(weights[expert] - 1) > weight_tolerance) {
            problems.push_back({place, "has weights that do not add up to 1"});
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
                     const std::vector<double>& speeds, int most_sweeps)
{
    holder_table holders = holders_of(map);
    std::vector<double> loads(map.ranks.size(), 0);
    for (std::size_t rank = 0; rank < map.ranks.size(); ++rank) {
        for (const replica& r : map.ranks[rank]) {
            loads[rank] += r.weight * expert_tokens[r.expert];
        }
    }
    double slowest_before = 0;
    for (int sweep = 0; sweep < most_sweeps; ++sweep) {
        for (std::uint32_t expert = 0; expert < map.experts; ++expert) {
            const std::span<holding> held = holders.of(expert);
            for (const holding& h : held) {
                loads[h.rank] -= map.ranks[h.rank][h.slot].weight * expert_tokens[expert];
            }
            fill_to_level(map, held, expert_tokens[expert], loads, speeds);
        }
        double slowest = 0;
        for (std::size_t rank = 0; rank < loads.size(); ++rank) {
            slowest = std::max(slowest, loads[rank] / speed_of(speeds, rank));
        }
        const bool settled =
            sweep > 0 && std::abs(slowest_before - slowest) <= balance_tolerance * slowest;
        if (settled) {
            break;
        }
        slowest_before = slowest;
    }
}

std::size_t moved_replicas(const expert_map& from, const expert_map& to)
{
    std::size_t moved = 0;
    for (std::size_t rank = 0; rank < to.ranks.size(); ++rank) {
        std::set<std::uint32_t> held;
        for (const replica& r : from.ranks[rank]) {
            held.insert(r.expert);
        }
        for (const replica& r : to.ranks[rank]) {
            moved += held.contains(r.expert) ? 0 : 1;
        }
    }
    return moved;
}

} // namespace currantpitch::expertmaps
