#include "rankcontrol/evenplanner.h"

#include <algorithm>

namespace currantpitch::rankcontrol {

namespace {

/// Reduction of the skew by a doubling of the copies below which more copies are not considered.
constexpr double min_skew_gain = 0.005;
double slowness_of(const std::vector<double>& slowness, std::size_t rank)
{
    return slowness.empty() ? 1.0 : slowness[rank];
}

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

layout improve_layout(const layout& current, const expert_counts& shares,
                      const std::vector<double>& slowness, const layout_shape& shape,
                      std::size_t copies_per_rank)
{
    layout_search search(current, shares, slowness, shape);
    search.add_budget(copies_per_rank);
    while (search.step()) {
    }
    return search.result();
}

layout_planner::layout_planner(layout current, expert_counts shares, std::vector<double> slowness,
                               const layout_shape& shape, const planner_costs& costs)
    : current_(std::move(current)), shares_(std::move(shares)), slowness_(std::move(slowness)),
      shape_(shape), costs_(costs), skew_before_(layout_skew(current_, shares_, slowness_)),
      search_(current_, shares_, slowness_, shape_)
{
    search_.add_budget(allowed_copies_);
}

bool layout_planner::advance(std::size_t max_moves)
{
    const std::size_t max_copies = shape_.new_per_rank * shape_.layers;
    for (std::size_t i = 0; i < max_moves && !finished_; ++i) {
        if (search_.step()) {
            continue;
        }
        const double previous_skew = plans_.empty() ? skew_before_ : plans_.back().skew_after;
        add_plan();
        const bool gains_enough =
            allowed_copies_ == 1 || previous_skew - plans_.back().skew_after >= min_skew_gain;
        finished_ = !gains_enough || 2 * allowed_copies_ > max_copies;
        if (!finished_) {
            search_.add_budget(allowed_copies_);
            allowed_copies_ *= 2;
        }
    }
    return finished_;
}

void layout_planner::add_plan()
{
    layout_plan plan;
    plan.skew_before = skew_before_;
    plan.experts = search_.result();
    plan.skew_after = layout_skew(plan.experts, shares_, slowness_);
    plan.max_copies = max_new_experts_on_a_rank(current_, plan.experts);
    plans_.push_back(std::move(plan));
}

std::optional<layout_plan> layout_planner::best() const
{
    using seconds = std::chrono::duration<double>;
    const auto saved_by = [this](double skew) {
        const double share = costs_.expert_work_share;
        return 1 - (1 - share + share * skew) / (1 - share + share * skew_before_);
    };
    const auto copy_duration = [this](std::size_t copies) {
        return costs_.copy_time * static_cast<double>(copies);
    };
    std::optional<layout_plan> best;
    if (plans_.empty()) {
        return best;
    }
    // After a small switch the remaining copies can follow in a second one.
    const layout_plan& last = plans_.back();
    for (const layout_plan& plan : plans_) {
        const std::size_t remaining_copies =
            last.max_copies > plan.max_copies ? last.max_copies - plan.max_copies : 0;
        const seconds until_first = copy_duration(plan.max_copies) + costs_.switch_time;
        const seconds until_last =
            remaining_copies > 0
                ? until_first + copy_duration(remaining_copies) + costs_.switch_time
                : until_first;
        const seconds after = std::max(seconds{}, costs_.horizon - until_last);
        const seconds between_switches =
            std::min(until_last, costs_.horizon) - std::min(until_first, costs_.horizon);
        const seconds net_gain =
            between_switches * saved_by(plan.skew_after) +
            after * std::max(saved_by(last.skew_after), saved_by(plan.skew_after)) -
            copy_duration(plan.max_copies + remaining_copies) * costs_.copy_slowdown;
        const bool changes = plan.max_copies > 0 || plan.skew_after < skew_before_;
        if (changes && net_gain > costs_.min_net_gain && (!best || net_gain > best->net_gain)) {
            best = plan;
            best->net_gain = net_gain;
        }
    }
    return best;
}

std::optional<layout_plan> plan_layout(const layout& current, const expert_counts& shares,
                                       const std::vector<double>& slowness,
                                       const layout_shape& shape, const planner_costs& costs)
{
    layout_planner planner(current, shares, slowness, shape, costs);
    while (!planner.advance(shape.ranks)) {
    }
    return planner.best();
}

} // namespace currantpitch::rankcontrol
