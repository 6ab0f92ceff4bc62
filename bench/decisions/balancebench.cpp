#include "decisions/balancebench.h"

#include "decisions/poptrace.h"
#include "decisions/skewplot.h"
#include "decisions/stopwatch.h"
#include "expertmaps/internal/placementsearch.h"
#include "expertmaps/planner.h"
#include "expertmaps/popularity.h"

#include <algorithm>
#include <cmath>
#include <concepts>
#include <iostream>

namespace currantpitch::bench {

using namespace currantpitch::expertmaps;

namespace {

constexpr double period_seconds = 10;
constexpr double recovery_skew_threshold = 1.10;
const core::time_point trace_start{std::chrono::hours(1)};

core::time_point period_start(std::size_t period)
{
    return trace_start + std::chrono::seconds(10) * static_cast<int>(period);
}

struct policy_weights {
    double skew = 1;
    double move = 1;
};

policy_weights weights_of(const std::string& name)
{
    // Mali Koderi gives more weight to step time, Kowalczyk to moves.
    return name == "kowalczyk" ? policy_weights{1, 4} : policy_weights{4, 1};
}

/// A policy that plans the map of a period from the reports of the periods before it.
template <class P>
concept balance_policy = requires(P& p, const trace& t, std::size_t period)
{
    {
        p.plan(t, period)
        } -> std::same_as<void>;
    {
        p.map()
        } -> std::same_as<const expert_map&>;
};

/// Keeps the initial map, which ignores popularity.
class static_policy {
public:
    explicit static_policy(const map_shape& shape) : map_(initial_map(shape)) {}
    void plan(const trace&, std::size_t) {}
    const expert_map& map() const { return map_; }

private:
    expert_map map_;
};

/// Places all replicas from scratch in each period according to the last report.
class periodic_greedy_policy {
public:
    explicit periodic_greedy_policy(const map_shape& shape)
        : shape_(shape), map_(initial_map(shape))
    {
    }
    void plan(const trace& t, std::size_t period)
    {
        if (period > 0 && !t[period - 1].reported_tokens.empty()) {
            map_ = place_from_scratch(shape_, t[period - 1].reported_tokens, {});
        }
    }
    const expert_map& map() const { return map_; }

private:
    map_shape shape_;
    expert_map map_;
};

/// Treats the last report as exact, knows the rank speeds and makes every move that improves the
/// map.
class full_optimal_policy {
public:
    explicit full_optimal_policy(const map_shape& shape) : shape_(shape), map_(initial_map(shape))
    {
    }
    void plan(const trace& t, std::size_t period)
    {
        if (period == 0 || t[period - 1].reported_tokens.empty()) {
            return;
        }
        const trace_period& previous = t[period - 1];
        const expert_map placed =
            match_ranks(place_from_scratch(shape_, previous.reported_tokens, previous.rank_speed),
                        map_, previous.rank_speed);
        map_ =
            improve_step_by_step(shape_, placed, previous.reported_tokens, previous.rank_speed, 64)
                .back()
                .map;
    }
    const expert_map& map() const { return map_; }

private:
    map_shape shape_;
    expert_map map_;
};

/// Plans with the product's popularity tracker and planner.
class planner_policy {
public:
    planner_policy(const map_shape& shape, const policy_weights& weights, double replica_bytes)
        : tracker_(shape.experts, shape.ranks),
          planner_(make_planner_options(shape, weights, replica_bytes)), map_(initial_map(shape))
    {
    }
    void plan(const trace& t, std::size_t period)
    {
        if (period > 0) {
            report(t[period - 1], period - 1);
        }
        const stopwatch watch;
        const expertmaps::plan new_plan =
            planner_.make(map_, tracker_.estimate(period_start(period)), period_start(period));
        max_plan_ns_ = std::max(max_plan_ns_, watch.nanoseconds());
        map_ = new_plan.map;
    }
    const expert_map& map() const { return map_; }
    double max_plan_ns() const { return max_plan_ns_; }

private:
    static planner_options make_planner_options(const map_shape& shape,
                                                const policy_weights& weights, double replica_bytes)
    {
        planner_options o;
        o.shape = shape;
        o.skew_weight = weights.skew;
        o.move_weight = weights.move;
        o.replica_bytes = replica_bytes;
        return o;
    }
    void report(const trace_period& previous, std::size_t period)
    {
        if (previous.reported_tokens.empty()) {
            return;
        }
        group_sample sample;
        sample.at = period_start(period);
        sample.expert_tokens = previous.reported_tokens;
        sample.rank_tokens = rank_times(map_, previous.reported_tokens, {});
        const std::vector<double> seconds =
            rank_times(map_, previous.reported_tokens, previous.rank_speed);
        for (const double s : seconds) {
            sample.rank_step_times.push_back(
                std::chrono::nanoseconds(static_cast<std::int64_t>(s)));
        }
        const core::result<void> added = tracker_.add(sample, period_start(period + 1));
        if (!added) {
            std::cerr << "load report ignored: " << added.error().detail << "\n";
        }
    }

    popularity_tracker tracker_;
    planner planner_;
    expert_map map_;
    double max_plan_ns_ = 0;
};

/// Results of one policy over all seeds.
struct policy_results {
    std::vector<double> skews;
    double moved_bytes = 0;
    double moved = 0;
    double moved_after_first = 0;
    double seconds_lost = 0;
    double objective = 0;
    double max_recovery_periods = 0;
    double max_plan_ns = 0;
};

template <balance_policy Policy>
void run_policy(Policy& p, const trace& t, const balance_options& options, policy_results& results,
                std::vector<double>& skew_series)
{
    const policy_weights weights = weights_of(options.weights);
    expert_map previous_map = p.map();
    std::optional<std::size_t> unrecovered_since;
    for (std::size_t period = 0; period < t.size(); ++period) {
        p.plan(t, period);
        const trace_period& current = t[period];
        const double moved = static_cast<double>(moved_replicas(previous_map, p.map()));
        previous_map = p.map();
        const std::vector<double> times = rank_times(p.map(), current.share, current.rank_speed);
        const double ideal = ideal_time(current.share, current.rank_speed, times.size());
        const double skew = *std::max_element(times.begin(), times.end()) / ideal;
        const double bytes = moved * options.replica_bytes;
        const double skew_seconds = (skew - 1) * period_seconds;
        results.skews.push_back(skew);
        skew_series.push_back(skew);
        results.moved += moved;
        results.moved_after_first += period > 1 ? moved : 0;
        results.moved_bytes += bytes;
        results.seconds_lost += skew_seconds;
        results.objective += weights.skew * skew_seconds + weights.move * move_time(bytes).count();
        unrecovered_since = current.event ? std::optional(period) : unrecovered_since;
        if (unrecovered_since && skew < recovery_skew_threshold) {
            results.max_recovery_periods = std::max(
                results.max_recovery_periods, static_cast<double>(period - *unrecovered_since));
            unrecovered_since.reset();
        }
    }
    if (unrecovered_since) {
        results.max_recovery_periods = std::max(results.max_recovery_periods,
                                                static_cast<double>(t.size() - *unrecovered_since));
    }
}

void add_row(bench_report& report, const std::string& name, const policy_results& results,
             double runs)
{
    report.add(
        {name, format_number(percentile(results.skews, 0.5)),
         format_number(percentile(results.skews, 0.95)),
         format_number(percentile(results.skews, 1)),
         format_number(results.moved_bytes / runs / 1e9, 2), format_number(results.moved / runs, 1),
         format_number(results.moved_after_first / runs, 1),
         format_number(results.seconds_lost / runs, 2), format_number(results.objective / runs, 2),
         format_number(results.max_recovery_periods, 0),
         format_number(results.max_plan_ns / 1e6, 2)});
}

} // namespace

bench_report run_balance(const balance_options& options, std::uint64_t seed)
{
    const std::uint32_t min_slots = (options.experts + options.ranks - 1) / options.ranks;
    const map_shape shape{options.ranks, options.experts,
                          options.slots == 0 ? min_slots + 2 : options.slots};
    policy_results static_results;
    policy_results greedy_results;
    policy_results optimal_results;
    policy_results planner_results;
    std::vector<plot_line> lines;
    for (std::uint64_t i = 0; i < options.seeds; ++i) {
        std::cerr << "progress trace=" << options.trace << " weights=" << options.weights
                  << " seed=" << seed + i << "\n";
        const trace t = make_trace(options.trace, options.ranks, options.experts, seed + i);
        static_policy static_map(shape);
        periodic_greedy_policy periodic_greedy(shape);
        full_optimal_policy full_optimal(shape);
        planner_policy product_planner(shape, weights_of(options.weights), options.replica_bytes);
        std::vector<plot_line> run = {
            {"static", {}}, {"periodic-greedy", {}}, {"full-optimal", {}}, {"planner", {}}};
        run_policy(static_map, t, options, static_results, run[0].values);
        run_policy(periodic_greedy, t, options, greedy_results, run[1].values);
        run_policy(full_optimal, t, options, optimal_results, run[2].values);
        run_policy(product_planner, t, options, planner_results, run[3].values);
        planner_results.max_plan_ns =
            std::max(planner_results.max_plan_ns, product_planner.max_plan_ns());
        lines = i == 0 ? std::move(run) : std::move(lines);
    }
    if (!options.plot.empty()) {
        write_skew_plot(options.plot, options.trace + ", " + options.weights, lines);
    }
    bench_report report({"policy", "skew_p50", "skew_p95", "skew_max", "moved_gb", "moved",
                         "moved_after_first", "seconds_lost", "objective", "recovery_periods",
                         "slowest_plan_ms"});
    const double runs = static_cast<double>(options.seeds);
    add_row(report, "static", static_results, runs);
    add_row(report, "periodic-greedy", greedy_results, runs);
    add_row(report, "full-optimal", optimal_results, runs);
    add_row(report, "planner", planner_results, runs);
    report.add({"lower-bound", "1.000", "1.000", "1.000", "0.00", "0.0", "0.0", "0.00", "0.00", "0",
                "0.00"});
    return report;
}

} // namespace currantpitch::bench
