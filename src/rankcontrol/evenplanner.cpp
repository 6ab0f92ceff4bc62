#include "rankcontrol/evenplanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace currantpitch::rankcontrol {

namespace {

/// Ranks that are looked at as targets of a move, the least loaded ones.
constexpr std::size_t most_targets = 8;
/// Gain of skew by twice the copies below which more copies are not looked at.
constexpr double least_skew_gain = 0.005;
/// Gain of a move, as a part of the busiest rank's load, below which the search ends.
constexpr double least_gain = 0.002;

double slowness_of(const std::vector<double>& slowness, std::size_t rank)
{
    return slowness.empty() ? 1.0 : slowness[rank];
}

/// One layer under change: who holds what, and the ranks' loads.
class layer_search {
public:
    /// The budget is what each rank may still copy, over all layers.
    layer_search(const layer_layout& present, const std::vector<double>& shares,
                 const std::vector<double>& slowness, const layout_shape& shape,
                 std::vector<std::size_t>& budget)
        : present_(present), layer_(present), shares_(shares), slowness_(slowness), shape_(shape),
          budget_(budget), holders_(shape.experts), loads_(present.size()), news_(present.size())
    {
        for (std::size_t r = 0; r < layer_.size(); ++r) {
            for (const expert e : layer_[r]) {
                holders_[e].push_back(r);
            }
        }
        for (std::size_t r = 0; r < layer_.size(); ++r) {
            for (const expert e : layer_[r]) {
                loads_[r] += part(e) * slowness_of(slowness_, r);
            }
        }
    }

    /// Makes the best move at the busiest rank; false when none helps.
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
        if (!best || best->worst > loads_[busiest] * (1 - least_gain)) {
            return false;
        }
        apply(busiest, *best);
        return true;
    }

    double busiest_load() const { return *std::max_element(loads_.begin(), loads_.end()); }
    const layer_layout& present() const { return layer_; }

private:
    /// A change at the busiest rank: one of its experts gets a copy on the target in the place of
    /// the victim, which goes back to the busiest rank if it has no other copy (a trade).
    struct move {
        std::size_t target = 0;
        expert spread = 0;
        std::optional<expert> victim;
        bool trade = false;
        double worst = 0;
    };

    double part(expert e) const
    {
        return shares_[e] / static_cast<double>(std::max<std::size_t>(holders_[e].size(), 1));
    }
    bool holds(std::size_t rank, expert e) const
    {
        return std::find(layer_[rank].begin(), layer_[rank].end(), e) != layer_[rank].end();
    }
    bool is_new(std::size_t rank, expert e) const
    {
        return std::find(present_[rank].begin(), present_[rank].end(), e) == present_[rank].end();
    }
    bool may_take(std::size_t rank, expert e, std::optional<expert> leaving) const
    {
        const std::size_t freed = leaving && is_new(rank, *leaving) ? 1 : 0;
        return !is_new(rank, e) ||
               (news_[rank] - freed < shape_.new_per_rank && budget_[rank] + freed > 0);
    }

    /// Largest load of the two ranks and of those that the victim's other holders get.
    double worst_after(std::size_t busiest, const move& m) const
    {
        const double copies = static_cast<double>(holders_[m.spread].size());
        const double slow_busiest = slowness_of(slowness_, busiest);
        const double slow_target = slowness_of(slowness_, m.target);
        if (m.trade) {
            const double change = shares_[m.spread] / copies - part(*m.victim);
            return std::max(loads_[busiest] - change * slow_busiest,
                            loads_[m.target] + change * slow_target);
        }
        const double given =
            (shares_[m.spread] / copies - shares_[m.spread] / (copies + 1)) * slow_busiest;
        double target = loads_[m.target] + shares_[m.spread] / (copies + 1) * slow_target;
        double worst = loads_[busiest] - given;
        if (m.victim) {
            const double others = static_cast<double>(holders_[*m.victim].size());
            target -= shares_[*m.victim] / others * slow_target;
            const double more = shares_[*m.victim] / (others - 1) - shares_[*m.victim] / others;
            for (const std::size_t holder : holders_[*m.victim]) {
                if (holder != m.target) {
                    const double own = holder == busiest ? loads_[holder] - given : loads_[holder];
                    worst = std::max(worst, own + more * slowness_of(slowness_, holder));
                }
            }
        }
        return std::max(worst, target);
    }

    void consider(std::size_t busiest, move m, std::optional<move>& best) const
    {
        m.worst = worst_after(busiest, m);
        if (!best || m.worst < best->worst) {
            best = m;
        }
    }

    void consider_target(std::size_t busiest, expert e, std::size_t target,
                         std::optional<move>& best) const
    {
        if (layer_[target].size() < shape_.expert_slots_per_rank &&
            may_take(target, e, std::nullopt)) {
            consider(busiest, move{target, e, std::nullopt, false, 0}, best);
        }
        for (const expert victim : layer_[target]) {
            if (!may_take(target, e, victim)) {
                continue;
            }
            if (holders_[victim].size() > 1) {
                consider(busiest, move{target, e, victim, false, 0}, best);
            }
            if (!holds(busiest, victim) && may_take(busiest, victim, e)) {
                consider(busiest, move{target, e, victim, true, 0}, best);
            }
        }
    }

    std::vector<std::size_t> least_loaded() const
    {
        std::vector<std::size_t> targets(layer_.size());
        std::iota(targets.begin(), targets.end(), std::size_t{0});
        const std::size_t looked_at = std::min(most_targets, targets.size());
        std::partial_sort(targets.begin(), targets.begin() + static_cast<long>(looked_at),
                          targets.end(),
                          [this](std::size_t a, std::size_t b) { return loads_[a] < loads_[b]; });
        targets.resize(looked_at);
        return targets;
    }

    void remove(std::size_t rank, expert e)
    {
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] -= part(e) * slowness_of(slowness_, holder);
        }
        std::erase(holders_[e], rank);
        std::erase(layer_[rank], e);
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] += part(e) * slowness_of(slowness_, holder);
        }
        if (is_new(rank, e)) {
            --news_[rank];
            ++budget_[rank];
        }
    }

    void add(std::size_t rank, expert e)
    {
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] -= part(e) * slowness_of(slowness_, holder);
        }
        holders_[e].push_back(rank);
        layer_[rank].push_back(e);
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] += part(e) * slowness_of(slowness_, holder);
        }
        if (is_new(rank, e)) {
            ++news_[rank];
            --budget_[rank];
        }
    }

    void apply(std::size_t busiest, const move& m)
    {
        if (m.victim) {
            remove(m.target, *m.victim);
        }
        if (m.trade) {
            remove(busiest, m.spread);
            add(busiest, *m.victim);
        }
        add(m.target, m.spread);
    }

    const layer_layout& present_;
    layer_layout layer_;
    const std::vector<double>& shares_;
    const std::vector<double>& slowness_;
    const layout_shape& shape_;
    std::vector<std::size_t>& budget_;
    std::vector<std::vector<std::size_t>> holders_;
    std::vector<double> loads_;
    std::vector<std::size_t> news_;
};

std::size_t most_new_on_a_rank(const layout& from, const layout& to)
{
    std::vector<std::size_t> news;
    for (std::size_t layer = 0; layer < to.size(); ++layer) {
        news.resize(to[layer].size());
        for (std::size_t r = 0; r < to[layer].size(); ++r) {
            for (const expert e : to[layer][r]) {
                const std::vector<expert>& before = from[layer][r];
                news[r] += std::find(before.begin(), before.end(), e) == before.end() ? 1 : 0;
            }
        }
    }
    return news.empty() ? 0 : *std::max_element(news.begin(), news.end());
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
    double most = 0;
    for (std::size_t rank = 0; rank < layer.size(); ++rank) {
        double load = 0;
        for (const expert e : layer[rank]) {
            load += shares[e] / copies[e];
        }
        total += load;
        most = std::max(most, load * slowness_of(slowness, rank));
    }
    return total <= 0 ? 1.0 : most * static_cast<double>(layer.size()) / total;
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

/// All layers under change. More copies may be allowed step by step.
class layout_search {
public:
    layout_search(const layout& present, const expert_counts& shares,
                  const std::vector<double>& slowness, const layout_shape& shape)
        : shape_(shape), budget_(shape.ranks)
    {
        layers_.reserve(present.size());
        for (std::size_t layer = 0; layer < present.size(); ++layer) {
            layers_.emplace_back(present[layer], shares[layer], slowness, shape, budget_);
        }
    }
    layout_search(const layout_search&) = delete;
    layout_search& operator=(const layout_search&) = delete;
    ~layout_search() = default;

    /// Improves the layers, the one with the busiest rank first, with so many more copies on each
    /// rank over all layers.
    void improve(std::size_t more_copies)
    {
        for (std::size_t& b : budget_) {
            b += more_copies;
        }
        std::vector<bool> finished(layers_.size());
        // Each move lowers a busiest rank; the bound only guards against endless trading.
        const std::size_t max_moves = 4 * shape_.ranks * std::max<std::size_t>(more_copies, 1);
        for (std::size_t i = 0; i < max_moves; ++i) {
            std::optional<std::size_t> worst;
            for (std::size_t layer = 0; layer < layers_.size(); ++layer) {
                const bool worse =
                    !worst || layers_[layer].busiest_load() > layers_[*worst].busiest_load();
                if (!finished[layer] && worse) {
                    worst = layer;
                }
            }
            if (!worst) {
                return;
            }
            finished[*worst] = !layers_[*worst].improve();
        }
    }

    layout present() const
    {
        layout all;
        for (const layer_search& layer : layers_) {
            all.push_back(layer.present());
        }
        return all;
    }

private:
    const layout_shape& shape_;
    std::vector<std::size_t> budget_;
    std::vector<layer_search> layers_;
};

} // namespace

layout improve_layout(const layout& present, const expert_counts& shares,
                      const std::vector<double>& slowness, const layout_shape& shape,
                      std::size_t copies_per_rank)
{
    layout_search search(present, shares, slowness, shape);
    search.improve(copies_per_rank);
    return search.present();
}

std::optional<even_plan> plan_layout(const layout& present, const expert_counts& shares,
                                     const std::vector<double>& slowness, const layout_shape& shape,
                                     const planner_costs& costs)
{
    using seconds = std::chrono::duration<double>;
    const double before = layout_skew(present, shares, slowness);
    const auto saved_by = [&costs, before](double skew) {
        const double share = costs.expert_work_share;
        return 1 - (1 - share + share * skew) / (1 - share + share * before);
    };
    const auto copying_of = [&costs](std::size_t copies) {
        return costs.copy_time * static_cast<double>(copies);
    };
    std::vector<even_plan> plans;
    const std::size_t max_copies = shape.new_per_rank * shape.layers;
    layout_search search(present, shares, slowness, shape);
    std::size_t allowed = 0;
    for (std::size_t copies = 1; copies <= max_copies; copies *= 2) {
        search.improve(copies - allowed);
        allowed = copies;
        even_plan plan;
        plan.skew_before = before;
        plan.experts = search.present();
        plan.skew_after = layout_skew(plan.experts, shares, slowness);
        plan.max_copies = most_new_on_a_rank(present, plan.experts);
        const double reached = plans.empty() ? before : plans.back().skew_after;
        plans.push_back(std::move(plan));
        if (copies > 1 && reached - plans.back().skew_after < least_skew_gain) {
            break;
        }
    }
    // After a small switch the rest can follow in a second one.
    const even_plan& last = plans.back();
    std::optional<even_plan> best;
    for (even_plan& plan : plans) {
        const std::size_t rest =
            last.max_copies > plan.max_copies ? last.max_copies - plan.max_copies : 0;
        const seconds until_first = copying_of(plan.max_copies) + costs.switch_time;
        const seconds until_last =
            rest > 0 ? until_first + copying_of(rest) + costs.switch_time : until_first;
        const seconds after = std::max(seconds{}, costs.horizon - until_last);
        const seconds between =
            std::min(until_last, costs.horizon) - std::min(until_first, costs.horizon);
        plan.net_gain = between * saved_by(plan.skew_after) +
                        after * std::max(saved_by(last.skew_after), saved_by(plan.skew_after)) -
                        copying_of(plan.max_copies + rest) * costs.copy_slowdown;
        const bool changes = plan.max_copies > 0 || plan.skew_after < before;
        if (changes && plan.net_gain > costs.least_net_gain &&
            (!best || plan.net_gain > best->net_gain)) {
            best = plan;
        }
    }
    return best;
}

} // namespace currantpitch::rankcontrol
