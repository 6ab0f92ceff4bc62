#include "rankcontrol/evenplanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace currantpitch::rankcontrol {

namespace {

/// Number of ranks that are considered as targets of a move; the least loaded ones.
constexpr std::size_t max_targets = 8;
/// Reduction of the skew by a doubling of the copies below which more copies are not considered.
constexpr double min_skew_gain = 0.005;
/// Gain of a move, as a fraction of the busiest rank's load, below which the search ends.
constexpr double min_move_gain = 0.002;

double slowness_of(const std::vector<double>& slowness, std::size_t rank)
{
    return slowness.empty() ? 1.0 : slowness[rank];
}

/// Local search in one layer: the holders of each expert and the load of each rank.
class layer_search {
public:
    /// The budget is the number of experts that each rank may still copy, over all layers.
    layer_search(const layer_layout& current, const std::vector<double>& shares,
                 const std::vector<double>& slowness, const layout_shape& shape,
                 std::vector<std::size_t>& budget)
        : initial_(current), layer_(current), shares_(shares), slowness_(slowness), shape_(shape),
          budget_(budget), holders_(shape.experts), loads_(current.size()),
          new_experts_(current.size())
    {
        for (std::size_t r = 0; r < layer_.size(); ++r) {
            for (const expert e : layer_[r]) {
                holders_[e].push_back(r);
            }
        }
        for (std::size_t r = 0; r < layer_.size(); ++r) {
            for (const expert e : layer_[r]) {
                loads_[r] += share_per_copy(e) * slowness_of(slowness_, r);
            }
        }
    }

    /// Makes the best move at the busiest rank. Returns false when no move gains enough.
    bool improve()
    {
        const std::size_t busiest = static_cast<std::size_t>(
            std::max_element(loads_.begin(), loads_.end()) - loads_.begin());
        std::optional<move> best;
        for (const std::size_t target : least_loaded()) {
            for (const expert e : layer_[busiest]) {
                if (target != busiest && !holds(target, e)) {
                    consider_target(busiest, e, target, best);
                }
            }
        }
        if (!best || best->max_load > loads_[busiest] * (1 - min_move_gain)) {
            return false;
        }
        apply(busiest, *best);
        return true;
    }

    double busiest_load() const { return *std::max_element(loads_.begin(), loads_.end()); }
    const layer_layout& result() const { return layer_; }

private:
    /// A change that relieves the busiest rank: one of its experts is copied to the target and
    /// takes the slot of the victim, if there is one. In a swap, the victim moves to the busiest
    /// rank and the copied expert leaves that rank. A victim that has no other copy can only be
    /// swapped.
    struct move {
        std::size_t target = 0;
        expert copied = 0;
        std::optional<expert> victim;
        bool is_swap = false;
        double max_load = 0;
    };

    double share_per_copy(expert e) const
    {
        return shares_[e] / static_cast<double>(std::max<std::size_t>(holders_[e].size(), 1));
    }
    bool holds(std::size_t rank, expert e) const
    {
        return std::find(layer_[rank].begin(), layer_[rank].end(), e) != layer_[rank].end();
    }
    bool is_new(std::size_t rank, expert e) const
    {
        return std::find(initial_[rank].begin(), initial_[rank].end(), e) == initial_[rank].end();
    }
    bool can_accept(std::size_t rank, expert e, std::optional<expert> leaving) const
    {
        const std::size_t freed = leaving && is_new(rank, *leaving) ? 1 : 0;
        return !is_new(rank, e) ||
               (new_experts_[rank] - freed < shape_.new_per_rank && budget_[rank] + freed > 0);
    }

    /// Largest load among the two ranks and the other holders of the victim after the move.
    double max_load_after(std::size_t busiest, const move& m) const
    {
        const double copies = static_cast<double>(holders_[m.copied].size());
        const double busiest_slowness = slowness_of(slowness_, busiest);
        const double target_slowness = slowness_of(slowness_, m.target);
        if (m.is_swap) {
            const double change = shares_[m.copied] / copies - share_per_copy(*m.victim);
            return std::max(loads_[busiest] - change * busiest_slowness,
                            loads_[m.target] + change * target_slowness);
        }
        const double removed_load =
            (shares_[m.copied] / copies - shares_[m.copied] / (copies + 1)) * busiest_slowness;
        double target_load = loads_[m.target] + shares_[m.copied] / (copies + 1) * target_slowness;
        double max_load = loads_[busiest] - removed_load;
        if (m.victim) {
            const double others = static_cast<double>(holders_[*m.victim].size());
            target_load -= shares_[*m.victim] / others * target_slowness;
            const double added_load =
                shares_[*m.victim] / (others - 1) - shares_[*m.victim] / others;
            for (const std::size_t holder : holders_[*m.victim]) {
                if (holder != m.target) {
                    const double load =
                        holder == busiest ? loads_[holder] - removed_load : loads_[holder];
                    max_load =
                        std::max(max_load, load + added_load * slowness_of(slowness_, holder));
                }
            }
        }
        return std::max(max_load, target_load);
    }

    void consider(std::size_t busiest, move m, std::optional<move>& best) const
    {
        m.max_load = max_load_after(busiest, m);
        if (!best || m.max_load < best->max_load) {
            best = m;
        }
    }

    void consider_target(std::size_t busiest, expert e, std::size_t target,
                         std::optional<move>& best) const
    {
        if (layer_[target].size() < shape_.expert_slots_per_rank &&
            can_accept(target, e, std::nullopt)) {
            consider(busiest, move{target, e, std::nullopt, false, 0}, best);
        }
        for (const expert victim : layer_[target]) {
            if (!can_accept(target, e, victim)) {
                continue;
            }
            if (holders_[victim].size() > 1) {
                consider(busiest, move{target, e, victim, false, 0}, best);
            }
            if (!holds(busiest, victim) && can_accept(busiest, victim, e)) {
                consider(busiest, move{target, e, victim, true, 0}, best);
            }
        }
    }

    std::vector<std::size_t> least_loaded() const
    {
        std::vector<std::size_t> targets(layer_.size());
        std::iota(targets.begin(), targets.end(), std::size_t{0});
        const std::size_t target_count = std::min(max_targets, targets.size());
        std::partial_sort(targets.begin(), targets.begin() + static_cast<long>(target_count),
                          targets.end(),
                          [this](std::size_t a, std::size_t b) { return loads_[a] < loads_[b]; });
        targets.resize(target_count);
        return targets;
    }

    void remove(std::size_t rank, expert e)
    {
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] -= share_per_copy(e) * slowness_of(slowness_, holder);
        }
        std::erase(holders_[e], rank);
        std::erase(layer_[rank], e);
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] += share_per_copy(e) * slowness_of(slowness_, holder);
        }
        if (is_new(rank, e)) {
            --new_experts_[rank];
            ++budget_[rank];
        }
    }

    void add(std::size_t rank, expert e)
    {
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] -= share_per_copy(e) * slowness_of(slowness_, holder);
        }
        holders_[e].push_back(rank);
        layer_[rank].push_back(e);
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] += share_per_copy(e) * slowness_of(slowness_, holder);
        }
        if (is_new(rank, e)) {
            ++new_experts_[rank];
            --budget_[rank];
        }
    }

    void apply(std::size_t busiest, const move& m)
    {
        if (m.victim) {
            remove(m.target, *m.victim);
        }
        if (m.is_swap) {
            remove(busiest, m.copied);
            add(busiest, *m.victim);
        }
        add(m.target, m.copied);
    }

    const layer_layout& initial_;
    layer_layout layer_;
    const std::vector<double>& shares_;
    const std::vector<double>& slowness_;
    const layout_shape& shape_;
    std::vector<std::size_t>& budget_;
    std::vector<std::vector<std::size_t>> holders_;
    std::vector<double> loads_;
    std::vector<std::size_t> new_experts_;
};

std::size_t max_new_experts_on_a_rank(const layout& from, const layout& to)
{
    std::vector<std::size_t> new_experts;
    for (std::size_t layer = 0; layer < to.size(); ++layer) {
        new_experts.resize(to[layer].size());
        for (std::size_t r = 0; r < to[layer].size(); ++r) {
            for (const expert e : to[layer][r]) {
                const std::vector<expert>& before = from[layer][r];
                new_experts[r] +=
                    std::find(before.begin(), before.end(), e) == before.end() ? 1 : 0;
            }
        }
    }
    return new_experts.empty() ? 0 : *std::max_element(new_experts.begin(), new_experts.end());
}

} // namespace

double layer_skew(const layer_layout& layer, const std::vector<double>& shares,
                  const std::vector<double>& slowness)
{
    std::vector<double> copies(shares.size());
    for (const std::vector<expert>& held : layer) {
        for (const expert e : held) {
            copies[e] += 1;
        }
    }
    double total = 0;
    double max_load = 0;
    for (std::size_t rank = 0; rank < layer.size(); ++rank) {
        double load = 0;
        for (const expert e : layer[rank]) {
            load += shares[e] / copies[e];
        }
        total += load;
        max_load = std::max(max_load, load * slowness_of(slowness, rank));
    }
    return total <= 0 ? 1.0 : max_load * static_cast<double>(layer.size()) / total;
}

double layout_skew(const layout& experts, const expert_counts& shares,
                   const std::vector<double>& slowness)
{
    double total = 0;
    for (std::size_t layer = 0; layer < experts.size(); ++layer) {
        total += layer_skew(experts[layer], shares[layer], slowness);
    }
    return experts.empty() ? 1.0 : total / static_cast<double>(experts.size());
}

namespace {

/// Local search over all layers. The allowed number of copies can be raised gradually.
class layout_search {
public:
    layout_search(const layout& current, const expert_counts& shares,
                  const std::vector<double>& slowness, const layout_shape& shape)
        : shape_(shape), budget_(shape.ranks)
    {
        layers_.reserve(current.size());
        for (std::size_t layer = 0; layer < current.size(); ++layer) {
            layers_.emplace_back(current[layer], shares[layer], slowness, shape, budget_);
        }
    }
    layout_search(const layout_search&) = delete;
    layout_search& operator=(const layout_search&) = delete;
    ~layout_search() = default;

    /// Improves the layers, starting with the one that has the busiest rank, with additional copies
    /// on each rank over all layers.
    void improve(std::size_t added_copies)
    {
        for (std::size_t& b : budget_) {
            b += added_copies;
        }
        std::vector<bool> finished(layers_.size());
        // Each move lowers the load of a busiest rank. The bound guards against endless swaps.
        const std::size_t max_moves = 4 * shape_.ranks * std::max<std::size_t>(added_copies, 1);
        for (std::size_t i = 0; i < max_moves; ++i) {
            std::optional<std::size_t> worst_layer;
            for (std::size_t layer = 0; layer < layers_.size(); ++layer) {
                const bool is_busier = !worst_layer || layers_[layer].busiest_load() >
                                                           layers_[*worst_layer].busiest_load();
                if (!finished[layer] && is_busier) {
                    worst_layer = layer;
                }
            }
            if (!worst_layer) {
                return;
            }
            finished[*worst_layer] = !layers_[*worst_layer].improve();
        }
    }

    layout result() const
    {
        layout all;
        for (const layer_search& layer : layers_) {
            all.push_back(layer.result());
        }
        return all;
    }

private:
    const layout_shape& shape_;
    std::vector<std::size_t> budget_;
    std::vector<layer_search> layers_;
};

} // namespace

layout improve_layout(const layout& current, const expert_counts& shares,
                      const std::vector<double>& slowness, const layout_shape& shape,
                      std::size_t copies_per_rank)
{
    layout_search search(current, shares, slowness, shape);
    search.improve(copies_per_rank);
    return search.result();
}

std::optional<layout_plan> plan_layout(const layout& current, const expert_counts& shares,
                                       const std::vector<double>& slowness,
                                       const layout_shape& shape, const planner_costs& costs)
{
    using seconds = std::chrono::duration<double>;
    const double before = layout_skew(current, shares, slowness);
    const auto saved_by = [&costs, before](double skew) {
        const double share = costs.expert_work_share;
        return 1 - (1 - share + share * skew) / (1 - share + share * before);
    };
    const auto copy_duration = [&costs](std::size_t copies) {
        return costs.copy_time * static_cast<double>(copies);
    };
    std::vector<layout_plan> plans;
    const std::size_t max_copies = shape.new_per_rank * shape.layers;
    layout_search search(current, shares, slowness, shape);
    std::size_t allowed = 0;
    for (std::size_t copies = 1; copies <= max_copies; copies *= 2) {
        search.improve(copies - allowed);
        allowed = copies;
        layout_plan plan;
        plan.skew_before = before;
        plan.experts = search.result();
        plan.skew_after = layout_skew(plan.experts, shares, slowness);
        plan.max_copies = max_new_experts_on_a_rank(current, plan.experts);
        const double previous_skew = plans.empty() ? before : plans.back().skew_after;
        plans.push_back(std::move(plan));
        if (copies > 1 && previous_skew - plans.back().skew_after < min_skew_gain) {
            break;
        }
    }
    // After a small switch the remaining copies can follow in a second one.
    const layout_plan& last = plans.back();
    std::optional<layout_plan> best;
    for (layout_plan& plan : plans) {
        const std::size_t remaining_copies =
            last.max_copies > plan.max_copies ? last.max_copies - plan.max_copies : 0;
        const seconds until_first = copy_duration(plan.max_copies) + costs.switch_time;
        const seconds until_last =
            remaining_copies > 0 ? until_first + copy_duration(remaining_copies) + costs.switch_time
                                 : until_first;
        const seconds after = std::max(seconds{}, costs.horizon - until_last);
        const seconds between_switches =
            std::min(until_last, costs.horizon) - std::min(until_first, costs.horizon);
        plan.net_gain = between_switches * saved_by(plan.skew_after) +
                        after * std::max(saved_by(last.skew_after), saved_by(plan.skew_after)) -
                        copy_duration(plan.max_copies + remaining_copies) * costs.copy_slowdown;
        const bool changes = plan.max_copies > 0 || plan.skew_after < before;
        if (changes && plan.net_gain > costs.min_net_gain &&
            (!best || plan.net_gain > best->net_gain)) {
            best = plan;
        }
    }
    return best;
}

} // namespace currantpitch::rankcontrol
