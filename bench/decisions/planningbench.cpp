#include "decisions/planningbench.h"

#include "decisions/poptrace.h"
#include "decisions/stopwatch.h"
#include "rankcontrol/evenplanner.h"

#include <algorithm>
#include <iostream>

namespace currantpitch::bench {

using namespace rankcontrol;

namespace {

constexpr std::uint64_t seed_count = 10;
/// Number of simulated periods of a trace.
constexpr std::size_t period_count = 48;
/// Number of periods between two opportunities to plan.
constexpr std::size_t planning_interval_periods = 4;
/// Fraction of a CPU core that is available on an agent's host.
constexpr double host_cores = 0.15;

layout_shape bench_shape()
{
    return {
        .ranks = 63, .layers = 8, .experts = 252, .expert_slots_per_rank = 5, .new_per_rank = 2};
}

struct planning_results {
    std::vector<double> skews;
    std::vector<double> plan_ms;
    double copies = 0;
    double plans = 0;
};

/// Returns the demand of all layers in each period. Each layer has its own trace.
std::vector<expert_counts> demand_of(const std::string& trace_name, std::uint64_t seed)
{
    const layout_shape shape = bench_shape();
    std::vector<expert_counts> demand(period_count, expert_counts(shape.layers));
    for (std::size_t layer = 0; layer < shape.layers; ++layer) {
        const trace t = make_trace(trace_name, static_cast<std::uint32_t>(shape.ranks),
                                   static_cast<std::uint32_t>(shape.experts), seed * 100 + layer);
        for (std::size_t p = 0; p < period_count; ++p) {
            demand[p][layer] = t[p % t.size()].share;
        }
    }
    return demand;
}

double copies_between(const layout& from, const layout& to)
{
    double copies = 0;
    for (std::size_t layer = 0; layer < to.size(); ++layer) {
        for (std::size_t rank = 0; rank < to[layer].size(); ++rank) {
            const std::vector<expert>& before = from[layer][rank];
            copies += static_cast<double>(
                std::count_if(to[layer][rank].begin(), to[layer][rank].end(), [&before](expert e) {
                    return std::find(before.begin(), before.end(), e) == before.end();
                }));
        }
    }
    return copies;
}

/// Returns a lower bound of the skew: that of a layout in which the hottest expert of each layer
/// has a copy in every spare slot.
double min_skew(const expert_counts& shares)
{
    const layout_shape shape = bench_shape();
    const std::size_t spare = shape.ranks * shape.expert_slots_per_rank - shape.experts;
    const double max_copies = static_cast<double>(std::min(shape.ranks, spare + 1));
    double total = 0;
    for (const std::vector<double>& layer : shares) {
        double sum = 0;
        for (const double s : layer) {
            sum += s;
        }
        const double hottest = *std::max_element(layer.begin(), layer.end()) / std::max(sum, 1e-12);
        total += std::max(1.0, hottest / max_copies * static_cast<double>(shape.ranks));
    }
    return total / static_cast<double>(shares.size());
}

/// Simulates all periods. A plan uses the demand of the period before it takes effect, as a
/// leader's plan does.
template <class Plan>
void simulate(const std::vector<expert_counts>& demand, planning_results& results, Plan plan)
{
    layout current = initial_layout(bench_shape());
    for (std::size_t p = 0; p < period_count; ++p) {
        results.skews.push_back(layout_skew(current, demand[p]));
        if (p % planning_interval_periods != 0) {
            continue;
        }
        const stopwatch plan_timer;
        std::optional<layout> next = plan(current, demand[p]);
        results.plan_ms.push_back(plan_timer.nanoseconds() / 1e6);
        if (next) {
            results.copies += copies_between(current, *next);
            results.plans += 1;
            current = std::move(*next);
        }
    }
}

double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (const double v : values) {
        sum += v;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

void add_row(bench_report& report, const std::string& trace_name, const std::string& policy,
             const planning_results& results)
{
    report.add({trace_name, policy, format_number(mean(results.skews)),
                format_number(percentile(results.skews, 0.95)), format_number(results.plans, 0),
                format_number(results.copies, 0), format_number(mean(results.plan_ms), 2),
                format_number(percentile(results.plan_ms, 0.95), 2),
                format_number(percentile(results.plan_ms, 0.95) / host_cores, 1)});
}

} // namespace

bench_report run_planning(std::uint64_t seed)
{
    bench_report report({"trace", "policy", "skew", "skew_p95", "plans", "copies", "plan_ms",
                         "plan_ms_p95", "host_ms_p95"});
    const layout_shape shape = bench_shape();
    planner_costs costs;
    // Time to copy an expert of 320 MB at 180 Gbit/s.
    costs.copy_time = std::chrono::duration<double>(0.0142);
    for (const std::string name : {"steady", "drift", "burst", "flip"}) {
        planning_results fixed;
        planning_results planned;
        planning_results all_moves;
        planning_results bound;
        for (std::uint64_t s = seed; s < seed + seed_count; ++s) {
            const std::vector<expert_counts> demand = demand_of(name, s);
            simulate(demand, fixed,
                     [](const layout&, const expert_counts&) { return std::optional<layout>(); });
            simulate(demand, planned, [&](const layout& current, const expert_counts& shares) {
                std::optional<layout_plan> p = plan_layout(current, shares, {}, shape, costs);
                return p ? std::optional<layout>(std::move(p->experts)) : std::nullopt;
            });
            simulate(demand, all_moves, [&](const layout& current, const expert_counts& shares) {
                return std::optional<layout>(
                    improve_layout(current, shares, {}, shape, shape.new_per_rank * shape.layers));
            });
            for (const expert_counts& shares : demand) {
                bound.skews.push_back(min_skew(shares));
            }
            std::cerr << name << " seed " << s << "\n";
        }
        add_row(report, name, "first layout", fixed);
        add_row(report, name, "planner", planned);
        add_row(report, name, "all moves", all_moves);
        add_row(report, name, "lower bound", bound);
    }
    return report;
}

} // namespace currantpitch::bench
