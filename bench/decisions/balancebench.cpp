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
constexpr double recovered_skew = 1.10;
const core::time_point trace_start{std::chrono::hours(1)};

core::time_point time_of(std::size_t period)
{
    return trace_start + std::chrono::seconds(10) * static_cast<int>(period);
}

struct policy_weights {
    double skew = 1;
    double move = 1;
};

policy_weights weights_of(const std::string& name)
{
    // Mali Koderi weighs step time more, Kowalczyk the moves.
    return name == "kowalczyk" ? policy_weights{1, 4} : policy_weights{4, 1};
}

/// A policy plans before a period, from what was reported up to the one before.
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

/// The map that knows nothing of popularity, for ever.
class static_policy {
public:
    explicit static_policy(const map_shape& shape) : map_(initial_map(shape)) {}
    void plan(const trace&, std::size_t) {}
    const expert_map& map() const { return map_; }

private:
    expert_map map_;
};

/// Places everything anew in each period by the last report.
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

/// Takes the last report for the truth, knows the speeds, and moves whatever makes it better.
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
        const trace_period& past = t[period - 1];
        const expert_map fresh =
            match_ranks(place_from_scratch(shape_, past.reported_tokens, past.rank_speed), map_,
                        past.rank_speed);
        map_ = improve_step_by_step(shape_, fresh, past.reported_tokens, past.rank_speed, 64)
                   .back()
                   .map;
    }
    const expert_map& map() const { return map_; }

private:
    map_shape shape_;
    expert_map map_;
};

/// The product's popularity tracker and planner.
class planner_policy {
public:
    planner_policy(const map_shape& shape, const policy_weights& weights, double replica_bytes)
        : tracker_(shape.experts, shape.ranks), planner_(options_of(shape, weights, replica_bytes)),
          map_(initial_map(shape))
    {
    }
    void plan(const trace& t, std::size_t period)
    {
        if (period > 0) {
            report(t[period - 1], period - 1);
        }
        const stopwatch watch;
        const expertmaps::plan made =
            planner_.make(map_, tracker_.estimate(time_of(period)), time_of(period));
        slowest_ns_ = std::max(slowest_ns_, watch.nanoseconds());
        map_ = made.map;
    }
    const expert_map& map() const { return map_; }
    double slowest_ns() const { return slowest_ns_; }

private:
    static planner_options options_of(const map_shape& shape, const policy_weights& weights,
                                      double replica_bytes)
    {
        planner_options o;
        o.shape = shape;
        o.skew_weight = weights.skew;
        o.move_weight = weights.move;
        o.replica_bytes = replica_bytes;
        return o;
    }
    void report(const trace_period& past, std::size_t period)
    {
        if (past.reported_tokens.empty()) {
            return;
        }
        group_sample sample;
        sample.at = time_of(period);
        sample.expert_tokens = past.reported_tokens;
        sample.rank_tokens = rank_times(map_, past.reported_tokens, {});
        const std::vector<double> seconds = rank_times(map_, past.reported_tokens, past.rank_speed);
        for (const double s : seconds) {
            sample.rank_step_times.push_back(
                std::chrono::nanoseconds(static_cast<std::int64_t>(s)));
        }
        const core::result<void> taken = tracker_.add(sample, time_of(period + 1));
        if (!taken) {
            std::cerr << "a report was ignored: " << taken.error().detail << "\n";
        }
    }

    popularity_tracker tracker_;
    planner planner_;
    expert_map map_;
    double slowest_ns_ = 0;
};

/// Figures of one policy over all seeds.
struct policy_figures {
    std::vector<double> skews;
    double moved_bytes = 0;
    double moved = 0;
    double moved_later = 0;
    double seconds_lost = 0;
    double objective = 0;
    double slowest_recovery = 0;
    double slowest_plan_ns = 0;
};

template <balance_policy Policy>
void run_policy(Policy& p, const trace& t, const balance_options& options, policy_figures& figures,
                std::vector<double>& line)
{
    const policy_weights weights = weights_of(options.weights);
    expert_map before = p.map();
    std::optional<std::size_t> waiting_since;
    for (std::size_t period = 0; period < t.size(); ++period) {
        p.plan(t, period);
        const trace_period& now = t[period];
        const double moved = static_cast<double>(moved_replicas(before, p.map()));
        before = p.map();
        const std::vector<double> times = rank_times(p.map(), now.share, now.rank_speed);
        const double ideal = ideal_time(now.share, now.rank_speed, times.size());
        const double skew = *std::max_element(times.begin(), times.end()) / ideal;
        const double bytes = moved * options.replica_bytes;
        const double skew_seconds = (skew - 1) * period_seconds;
        figures.skews.push_back(skew);
        line.push_back(skew);
        figures.moved += moved;
        figures.moved_later += period > 1 ? moved : 0;
        figures.moved_bytes += bytes;
        figures.seconds_lost += skew_seconds;
        figures.objective += weights.skew * skew_seconds + weights.move * move_time(bytes).count();
        waiting_since = now.event ? std::optional(period) : waiting_since;
        if (waiting_since && skew < recovered_skew) {
            figures.slowest_recovery =
                std::max(figures.slowest_recovery, static_cast<double>(period - *waiting_since));
            waiting_since.reset();
        }
    }
    if (waiting_since) {
        figures.slowest_recovery =
            std::max(figures.slowest_recovery, static_cast<double>(t.size() - *waiting_since));
    }
}

void add_row(bench_report& report, const std::string& name, const policy_figures& f, double runs)
{
    report.add({name, figure(percentile(f.skews, 0.5)), figure(percentile(f.skews, 0.95)),
                figure(percentile(f.skews, 1)), figure(f.moved_bytes / runs / 1e9, 2),
                figure(f.moved / runs, 1), figure(f.moved_later / runs, 1),
                figure(f.seconds_lost / runs, 2), figure(f.objective / runs, 2),
                figure(f.slowest_recovery, 0), figure(f.slowest_plan_ns / 1e6, 2)});
}

} // namespace

bench_report run_balance(const balance_options& options, std::uint64_t seed)
{
    const std::uint32_t needed = (options.experts + options.ranks - 1) / options.ranks;
    const map_shape shape{options.ranks, options.experts,
                          options.slots == 0 ? needed + 2 : options.slots};
    policy_figures fixed;
    policy_figures greedy;
    policy_figures optimal;
    policy_figures planned;
    std::vector<plot_line> lines;
    for (std::uint64_t i = 0; i < options.seeds; ++i) {
        std::cerr << "progress trace=" << options.trace << " weights=" << options.weights
                  << " seed=" << seed + i << "\n";
        const trace t = make_trace(options.trace, options.ranks, options.experts, seed + i);
        static_policy a(shape);
        periodic_greedy_policy b(shape);
        full_optimal_policy c(shape);
        planner_policy d(shape, weights_of(options.weights), options.replica_bytes);
        std::vector<plot_line> run = {
            {"static", {}}, {"periodic-greedy", {}}, {"full-optimal", {}}, {"planner", {}}};
        run_policy(a, t, options, fixed, run[0].values);
        run_policy(b, t, options, greedy, run[1].values);
        run_policy(c, t, options, optimal, run[2].values);
        run_policy(d, t, options, planned, run[3].values);
        planned.slowest_plan_ns = std::max(planned.slowest_plan_ns, d.slowest_ns());
        lines = i == 0 ? std::move(run) : std::move(lines);
    }
    if (!options.plot.empty()) {
        write_skew_plot(options.plot, options.trace + ", " + options.weights, lines);
    }
    bench_report report({"policy", "skew_p50", "skew_p95", "skew_max", "moved_gb", "moved",
                         "moved_after_first", "seconds_lost", "objective", "recovery_periods",
                         "slowest_plan_ms"});
    const double runs = static_cast<double>(options.seeds);
    add_row(report, "static", fixed, runs);
    add_row(report, "periodic-greedy", greedy, runs);
    add_row(report, "full-optimal", optimal, runs);
    add_row(report, "planner", planned, runs);
    report.add({"lower-bound", "1.000", "1.000", "1.000", "0.00", "0.0", "0.0", "0.00", "0.00", "0",
                "0.00"});
    return report;
}

} // namespace currantpitch::bench
