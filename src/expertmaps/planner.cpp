#include "expertmaps/planner.h"

#include "expertmaps/expertmapsconstants.h"
#include "expertmaps/internal/placementsearch.h"

#include <algorithm>
#include <cmath>

namespace currantpitch::expertmaps {

namespace {

constexpr double seconds_per_hour = 3600;

double slowest_of(const expert_map& map, const popularity_estimate& estimate)
{
    const std::vector<double> times = rank_times(map, estimate.expert_share, estimate.rank_speed);
    return *std::max_element(times.begin(), times.end());
}

} // namespace

std::string_view to_string(plan_reason reason)
{
    switch (reason) {
    case plan_reason::stale_input:
        return "stale_input";
    case plan_reason::balanced:
        return "balanced";
    case plan_reason::cost_exceeds_gain:
        return "too_dear";
    case plan_reason::no_budget:
        return "no_budget";
    case plan_reason::reweighted:
        return "reweighted";
    case plan_reason::moved:
        return "moved";
    }
    return "unknown";
}

std::chrono::duration<double> move_time(double bytes)
{
    return std::chrono::duration<double>(bytes / store_bytes_per_second);
}

void planner::refill_budget(core::time_point now)
{
    if (options_.budget_bytes_per_hour <= 0) {
        return;
    }
    if (!budget_refilled_at_) {
        budget_bytes_ = options_.budget_bytes_per_hour;
    }
    else {
        const double hours =
            std::chrono::duration<double>(now - *budget_refilled_at_).count() / seconds_per_hour;
        budget_bytes_ = std::min(options_.budget_bytes_per_hour,
                                 budget_bytes_ + hours * options_.budget_bytes_per_hour);
    }
    budget_refilled_at_ = now;
}

// Returns the weighted gain of a search step relative to slowest_before, minus the weighted cost of
// its moves.
double planner::net_gain(double slowest_before, double slowest, double ideal,
                         std::size_t moves) const
{
    const double horizon_seconds = std::chrono::duration<double>(planning_horizon).count();
    const double saved = (slowest_before - slowest) / ideal * horizon_seconds;
    const double cost = options_.move_weight *
                        move_time(static_cast<double>(moves) * options_.replica_bytes).count();
    const double factor = is_first_plan_ ? first_plan_hysteresis : hysteresis;
    return options_.skew_weight * saved - factor * cost;
}

plan planner::make(const expert_map& current, const std::optional<popularity_estimate>& estimate,
                   core::time_point now)
{
    plan result;
    result.map = current;
    if (!estimate || !validate(current, options_.shape).empty()) {
        return result;
    }
    refill_budget(now);
    const std::vector<double>& tokens = estimate->expert_share;
    const double ideal = ideal_time(tokens, estimate->rank_speed, options_.shape.ranks);
    result.skew_before = slowest_of(current, *estimate) / ideal;
    result.skew_after = result.skew_before;

    std::vector<search_step> steps = improve_step_by_step(
        options_.shape, current, tokens, estimate->rank_speed, max_moves_considered);
    const search_step reweighted = steps.front();
    // A placement from scratch is worthwhile when popularity has changed completely.
    const bool far_from_ideal = steps.back().slowest > ideal * (1 + min_skew_gain);
    if (is_first_plan_ || estimate->burst || far_from_ideal) {
        const expert_map rebuilt =
            match_ranks(place_from_scratch(options_.shape, tokens, estimate->rank_speed), current,
                        estimate->rank_speed);
        for (search_step& s : improve_step_by_step(
                 options_.shape, rebuilt, tokens, estimate->rank_speed, max_moves_considered / 2)) {
            s.moves = moved_replicas(current, s.map);
            steps.push_back(std::move(s));
        }
    }
    const search_step* best = &steps.front();
    double best_net_gain = 0;
    bool over_budget = false;
    for (const search_step& s : steps) {
        const double step_net_gain = net_gain(reweighted.slowest, s.slowest, ideal, s.moves);
        const double bytes = static_cast<double>(s.moves) * options_.replica_bytes;
        const bool affordable =
            options_.budget_bytes_per_hour <= 0 || is_first_plan_ || bytes <= budget_bytes_;
        over_budget = over_budget || (step_net_gain > best_net_gain && !affordable);
        if (step_net_gain > best_net_gain && affordable) {
            best = &s;
            best_net_gain = step_net_gain;
        }
    }
    const double skew_gain = (reweighted.slowest - best->slowest) / ideal;
    if (skew_gain < min_skew_gain) {
        best = &steps.front();
    }
    is_first_plan_ = false;
    result.moved = best->moves;
    result.moved_bytes = static_cast<double>(best->moves) * options_.replica_bytes;
    result.skew_after = best->slowest / ideal;
    result.gain = options_.skew_weight * (result.skew_before - result.skew_after) *
                  std::chrono::duration<double>(planning_horizon).count();
    result.cost = options_.move_weight * move_time(result.moved_bytes).count();
    if (result.moved > 0) {
        result.reason = plan_reason::moved;
        budget_bytes_ -= result.moved_bytes;
    }
    else if (result.skew_before - result.skew_after > min_reweighting_gain) {
        result.reason = plan_reason::reweighted;
    }
    else {
        const bool gain_possible = steps.back().slowest < reweighted.slowest * (1 - min_skew_gain);
        result.reason = over_budget     ? plan_reason::no_budget
                        : gain_possible ? plan_reason::cost_exceeds_gain
                                        : plan_reason::balanced;
        return result;
    }
    result.map = best->map;
    result.map.version = current.version.next();
    return result;
}

} // namespace currantpitch::expertmaps
