#include "decisions/planningbench.h"

#include "decisions/poptrace.h"
#include "decisions/stopwatch.h"
#include "rankcontrol/evenplanner.h"

#include <algorithm>
#include <iostream>

namespace currantpitch::bench {

using namespace rankcontrol;

namespace {

constexpr std::uint64_t seeds = 10;
/// Periods of a trace that are planned for, and every how many of them a plan may be made.
constexpr std::size_t periods = 48;
constexpr std::size_t plan_every = 4;
/// Part of a core that an agent's host has.
constexpr double host_cores = 0.15;

layout_shape grown_shape()
{
    return {
        .ranks = 63, .layers = 8, .experts = 252, .expert_slots_per_rank = 5, .new_per_rank = 2};
}

struct planning_figures {
    std::vector<double> skews;
    std::vector<double> plan_ms;
    double copies = 0;
    double plans = 0;
};

/// Demand of all layers by period; each layer has a trace of its own.
std::vector<expert_counts> demand_of(const std::string& trace_name, std::uint64_t seed)
{
    const layout_shape shape = grown_shape();
    std::vector<expert_counts> demand(periods, expert_counts(shape.layers));
    for (std::size_t layer = 0; layer < shape.layers; ++layer) {
        const trace t = make_trace(trace_name, static_cast<std::uint32_t>(shape.ranks),
                                   static_cast<std::uint32_t>(shape.experts), seed * 100 + layer);
        for (std::size_t p = 0; p < periods; ++p) {
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

/// Skew of a layout in which the hottest expert had a copy in every spare place.
double least_skew(const expert_counts& shares)
{
    const layout_shape shape = grown_shape();
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

/// Plans with the demand of the period before, as a leader does.
template <class Plan>
void play(const std::vector<expert_counts>& demand, planning_figures& f, Plan plan)
{
    layout present = initial_layout(grown_shape());
    for (std::size_t p = 0; p < periods; ++p) {
        f.skews.push_back(layout_skew(present, demand[p]));
        if (p % plan_every != 0) {
            continue;
        }
        const stopwatch taken;
        std::optional<layout> next = plan(present, demand[p]);
        f.plan_ms.push_back(taken.nanoseconds() / 1e6);
        if (next) {
            f.copies += copies_between(present, *next);
            f.plans += 1;
            present = std::move(*next);
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
             const planning_figures& f)
{
    report.add({trace_name, policy, figure(mean(f.skews)), figure(percentile(f.skews, 0.95)),
                figure(f.plans, 0), figure(f.copies, 0), figure(mean(f.plan_ms), 2),
                figure(percentile(f.plan_ms, 0.95), 2),
                figure(percentile(f.plan_ms, 0.95) / host_cores, 1)});
}

} // namespace

bench_report run_planning(std::uint64_t seed)
{
    bench_report report({"trace", "policy", "skew", "skew_p95", "plans", "copies", "plan_ms",
                         "plan_ms_p95", "host_ms_p95"});
    const layout_shape shape = grown_shape();
    planner_costs costs;
    // An expert of 320 MB over 180 Gbit/s.
    costs.copy_time = std::chrono::duration<double>(0.0142);
    for (const std::string name : {"steady", "drift", "burst", "flip"}) {
        planning_figures fixed;
        planning_figures planned;
        planning_figures all_moves;
        planning_figures bound;
        for (std::uint64_t s = seed; s < seed + seeds; ++s) {
            const std::vector<expert_counts> demand = demand_of(name, s);
            play(demand, fixed,
                 [](const layout&, const expert_counts&) { return std::optional<layout>(); });
            play(demand, planned, [&](const layout& present, const expert_counts& shares) {
                std::optional<layout_plan> p = plan_layout(present, shares, {}, shape, costs);
                return p ? std::optional<layout>(std::move(p->experts)) : std::nullopt;
            });
            play(demand, all_moves, [&](const layout& present, const expert_counts& shares) {
                return std::optional<layout>(
                    improve_layout(present, shares, {}, shape, shape.new_per_rank * shape.layers));
            });
            for (const expert_counts& shares : demand) {
                bound.skews.push_back(least_skew(shares));
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
