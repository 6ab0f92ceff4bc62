#include "rankcontrol/evenplanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace currantpitch::rankcontrol {

namespace {

/// Ranks that are looked at as targets of a move, the least loaded ones.
constexpr std::size_t most_targets = 16;
/// Gain of a move, as a part of the busiest rank's load, below which the search ends.
constexpr double least_gain = 0.002;
/// Least net gain of a switch, in time of the group's passes.
constexpr std::chrono::duration<double> least_net_gain{0.08};

/// One layer under change: who holds what, and the ranks' loads.
class layer_search {
public:
    layer_search(const layer_layout& present, const std::vector<double>& shares,
                 const layout_shape& shape, std::size_t new_per_rank)
        : present_(present), layer_(present), shares_(shares), shape_(shape),
          new_per_rank_(new_per_rank), holders_(shape.experts), loads_(present.size()),
          news_(present.size())
    {
        for (std::size_t r = 0; r < layer_.size(); ++r) {
            for (const expert e : layer_[r]) {
                holders_[e].push_back(r);
            }
        }
        for (std::size_t r = 0; r < layer_.size(); ++r) {
            for (const expert e : layer_[r]) {
                loads_[r] += part(e);
            }
        }
    }

    layer_layout run()
    {
        // Each step lowers the busiest rank; the bound only guards against endless trading.
        const std::size_t most_steps = 4 * layer_.size() * std::max<std::size_t>(new_per_rank_, 1);
        for (std::size_t step = 0; step < most_steps && improve_busiest(); ++step) {
        }
        return layer_;
    }

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
        return !is_new(rank, e) || news_[rank] - freed < new_per_rank_;
    }

    /// Largest load of the two ranks and of those that the victim's other holders get.
    double worst_after(std::size_t busiest, const move& m) const
    {
        const double copies = static_cast<double>(holders_[m.spread].size());
        if (m.trade) {
            const double given = shares_[m.spread] / copies;
            const double got = part(*m.victim);
            return std::max(loads_[busiest] - given + got, loads_[m.target] + given - got);
        }
        const double given = shares_[m.spread] / copies - shares_[m.spread] / (copies + 1);
        double target = loads_[m.target] + shares_[m.spread] / (copies + 1);
        double worst = loads_[busiest] - given;
        if (m.victim) {
            const double others = static_cast<double>(holders_[*m.victim].size());
            target -= shares_[*m.victim] / others;
            const double more = shares_[*m.victim] / (others - 1) - shares_[*m.victim] / others;
            for (const std::size_t holder : holders_[*m.victim]) {
                if (holder != m.target) {
                    const double own = holder == busiest ? loads_[holder] - given : loads_[holder];
                    worst = std::max(worst, own + more);
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
        if (layer_[target].size() < shape_.places_per_rank && may_take(target, e, std::nullopt)) {
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

    bool improve_busiest()
    {
        const std::size_t busiest = static_cast<std::size_t>(
            std::max_element(loads_.begin(), loads_.end()) - loads_.begin());
        std::vector<std::size_t> targets(layer_.size());
        std::iota(targets.begin(), targets.end(), std::size_t{0});
        const std::size_t looked_at = std::min(most_targets, targets.size());
        std::partial_sort(targets.begin(), targets.begin() + static_cast<long>(looked_at),
                          targets.end(),
                          [this](std::size_t a, std::size_t b) { return loads_[a] < loads_[b]; });
        std::optional<move> best;
        for (const expert e : layer_[busiest]) {
            for (std::size_t i = 0; i < looked_at; ++i) {
                if (targets[i] != busiest && !holds(targets[i], e)) {
                    consider_target(busiest, e, targets[i], best);
                }
            }
        }
        if (!best || best->worst > loads_[busiest] * (1 - least_gain)) {
            return false;
        }
        apply(busiest, *best);
        return true;
    }

    void remove(std::size_t rank, expert e)
    {
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] -= part(e);
        }
        std::erase(holders_[e], rank);
        std::erase(layer_[rank], e);
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] += part(e);
        }
        news_[rank] -= is_new(rank, e) ? 1 : 0;
    }

    void add(std::size_t rank, expert e)
    {
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] -= part(e);
        }
        holders_[e].push_back(rank);
        layer_[rank].push_back(e);
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] += part(e);
        }
        news_[rank] += is_new(rank, e) ? 1 : 0;
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
    const layout_shape& shape_;
    std::size_t new_per_rank_;
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

double layer_skew(const layer_layout& layer, const std::vector<double>& shares)
{
    std::vector<double> copies(shares.size());
    for (const std::vector<expert>& held : layer) {
        for (const expert e : held) {
            copies[e] += 1;
        }
    }
    double total = 0;
    double most = 0;
    for (const std::vector<expert>& held : layer) {
        double load = 0;
        for (const expert e : held) {
            load += shares[e] / copies[e];
        }
        total += load;
        most = std::max(most, load);
    }
    return total <= 0 ? 1.0 : most * static_cast<double>(layer.size()) / total;
}

double layout_skew(const layout& experts, const expert_counts& shares)
{
    double total = 0;
    for (std::size_t layer = 0; layer < experts.size(); ++layer) {
        total += layer_skew(experts[layer], shares[layer]);
    }
    return experts.empty() ? 1.0 : total / static_cast<double>(experts.size());
}

layer_layout improve_layer(const layer_layout& present, const std::vector<double>& shares,
                           const layout_shape& shape, std::size_t new_per_rank)
{
    return layer_search(present, shares, shape, new_per_rank).run();
}

std::optional<even_plan> plan_layout(const layout& present, const expert_counts& shares,
                                     const layout_shape& shape, const planner_costs& costs)
{
    const double before = layout_skew(present, shares);
    const auto pass_time = [&costs](double skew) {
        return (1 - costs.expert_work_share) + costs.expert_work_share * skew;
    };
    std::optional<even_plan> best;
    for (std::size_t limit = 1; limit <= shape.new_per_rank; ++limit) {
        even_plan plan;
        plan.skew_before = before;
        for (std::size_t layer = 0; layer < present.size(); ++layer) {
            plan.experts.push_back(improve_layer(present[layer], shares[layer], shape, limit));
        }
        plan.skew_after = layout_skew(plan.experts, shares);
        plan.most_copies = most_new_on_a_rank(present, plan.experts);
        const std::chrono::duration<double> copying =
            costs.copy_time * static_cast<double>(plan.most_copies);
        const std::chrono::duration<double> left =
            std::max(std::chrono::duration<double>{}, costs.horizon - copying - costs.switch_time);
        const double saved = 1 - pass_time(plan.skew_after) / pass_time(before);
        plan.net_gain = left * saved - copying * costs.copy_slowdown;
        if (plan.net_gain > least_net_gain && (!best || plan.net_gain > best->net_gain)) {
            best = std::move(plan);
        }
    }
    return best;
}

} // namespace currantpitch::rankcontrol
