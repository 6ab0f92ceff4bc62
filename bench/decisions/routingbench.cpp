#include "decisions/routingbench.h"

#include "core/hashing.h"
#include "decisions/stopwatch.h"
#include "routing/endpointpool.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <iostream>
#include <map>
#include <random>

namespace currantpitch::bench {

namespace {

constexpr std::size_t step_count = 4000;
constexpr std::uint32_t concurrency = 16;
constexpr std::size_t service_steps = 40;
constexpr std::size_t report_interval_steps = 25;
constexpr double utilization = 0.6;
constexpr std::size_t prefixes_per_endpoint = 20;
constexpr std::size_t cached_prefixes = 40;
constexpr double prefix_exponent = 0.8;
const core::time_point start_time{std::chrono::hours(1)};

core::time_point step_time(std::size_t step)
{
    return start_time + std::chrono::milliseconds(20) * static_cast<int>(step);
}

/// Results of one simulation of a policy.
struct routing_results {
    /// Load of the busiest endpoint over the mean load, one value for each step.
    std::vector<double> busiest_to_mean;
    double hits = 0;
    double requests = 0;
};

/// Models endpoints that run requests of a fixed duration and have a bounded prefix cache each.
class endpoint_model {
public:
    explicit endpoint_model(std::size_t count) : running_(count, 0), cached_(count) {}

    void start_request(std::size_t endpoint, std::uint64_t prefix, std::size_t step,
                       routing_results& results)
    {
        ++running_[endpoint];
        ending_requests_[step + service_steps].push_back(endpoint);
        std::deque<std::uint64_t>& cache = cached_[endpoint];
        const bool hit = std::find(cache.begin(), cache.end(), prefix) != cache.end();
        results.hits += hit ? 1 : 0;
        results.requests += 1;
        if (!hit) {
            cache.push_back(prefix);
        }
        if (cache.size() > cached_prefixes) {
            cache.pop_front();
        }
    }
    /// Ends the requests that are due at the step and returns their endpoints.
    std::vector<std::size_t> finish_requests(std::size_t step)
    {
        std::vector<std::size_t> finished = std::move(ending_requests_[step]);
        ending_requests_.erase(step);
        for (const std::size_t endpoint : finished) {
            --running_[endpoint];
        }
        return finished;
    }
    const std::vector<std::uint32_t>& running() const { return running_; }

private:
    std::vector<std::uint32_t> running_;
    std::vector<std::deque<std::uint64_t>> cached_;
    std::map<std::size_t, std::vector<std::size_t>> ending_requests_;
};

core::endpoint_id endpoint_name(std::size_t i)
{
    return core::endpoint_id("e" + std::to_string(i));
}

/// Chooses with the product's endpoint pool.
class pool_policy {
public:
    pool_policy(std::size_t count, std::uint64_t seed) : pool_(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            index_[endpoint_name(i)] = i;
        }
    }
    void report(const std::vector<std::uint32_t>& running, core::time_point at)
    {
        for (std::size_t i = 0; i < running.size(); ++i) {
            routing::endpoint_state s;
            s.endpoint = endpoint_name(i);
            s.concurrency = concurrency;
            s.usable = true;
            s.report = routing::reported_load{running[i], at};
            pool_.update(std::move(s));
        }
    }
    std::size_t choose(std::uint64_t prefix, core::time_point now)
    {
        const std::optional<routing::choice> c = pool_.choose({prefix, {}, false}, now);
        pool_.on_request_started(c->endpoint);
        return index_.at(c->endpoint);
    }
    void on_finished(std::size_t endpoint) { pool_.on_request_finished(endpoint_name(endpoint)); }

private:
    routing::endpoint_pool pool_;
    std::map<core::endpoint_id, std::size_t> index_;
};

/// Chooses an endpoint at random.
class random_policy {
public:
    random_policy(std::size_t count, std::uint64_t seed) : count_(count), random_(seed) {}
    void report(const std::vector<std::uint32_t>&, core::time_point) {}
    std::size_t choose(std::uint64_t, core::time_point) { return random_() % count_; }
    void on_finished(std::size_t) {}

private:
    std::size_t count_;
    std::mt19937_64 random_;
};

/// Chooses the endpoint with the least reported load.
class least_reported_policy {
public:
    least_reported_policy(std::size_t count, std::uint64_t) : reported_(count, 0) {}
    void report(const std::vector<std::uint32_t>& running, core::time_point)
    {
        reported_ = running;
    }
    std::size_t choose(std::uint64_t, core::time_point)
    {
        return static_cast<std::size_t>(std::min_element(reported_.begin(), reported_.end()) -
                                        reported_.begin());
    }
    void on_finished(std::size_t) {}

private:
    std::vector<std::uint32_t> reported_;
};

template <class Policy>
routing_results run_policy(std::size_t count, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    Policy policy(count, seed);
    endpoint_model endpoints(count);
    routing_results results;
    std::vector<double> popularity(count * prefixes_per_endpoint);
    for (std::size_t i = 0; i < popularity.size(); ++i) {
        popularity[i] = 1 / std::pow(static_cast<double>(i) + 1, prefix_exponent);
    }
    std::discrete_distribution<std::size_t> prefix(popularity.begin(), popularity.end());
    const double per_step = utilization * concurrency * static_cast<double>(count) / service_steps;
    std::poisson_distribution<int> arrivals(per_step);
    policy.report(endpoints.running(), step_time(0));
    for (std::size_t step = 0; step < step_count; ++step) {
        for (const std::size_t endpoint : endpoints.finish_requests(step)) {
            policy.on_finished(endpoint);
        }
        if (step % report_interval_steps == 0) {
            policy.report(endpoints.running(), step_time(step));
        }
        const int arrival_count = arrivals(random);
        for (int i = 0; i < arrival_count; ++i) {
            const std::uint64_t key = core::hash64("prefix", prefix(random));
            endpoints.start_request(policy.choose(key, step_time(step)), key, step, results);
        }
        const std::vector<std::uint32_t>& running = endpoints.running();
        double total = 0;
        for (const std::uint32_t r : running) {
            total += r;
        }
        if (step > 200 && total > 0) {
            results.busiest_to_mean.push_back(*std::max_element(running.begin(), running.end()) *
                                              static_cast<double>(count) / total);
        }
    }
    return results;
}

/// Returns the mean time in nanoseconds of one choice among the given number of endpoints.
double choice_ns(std::size_t count, std::uint64_t seed)
{
    pool_policy policy(count, seed);
    std::mt19937_64 random(seed);
    std::vector<std::uint32_t> running(count);
    for (std::uint32_t& r : running) {
        r = static_cast<std::uint32_t>(random() % concurrency);
    }
    policy.report(running, step_time(0));
    constexpr int choices = 200000;
    const stopwatch watch;
    for (int i = 0; i < choices; ++i) {
        policy.on_finished(policy.choose(random(), step_time(1)));
    }
    return watch.nanoseconds() / choices;
}

void add_row(bench_report& report, const std::string& name, std::size_t count,
             const routing_results& results, const std::string& cost)
{
    report.add({std::to_string(count), name,
                format_number(percentile(results.busiest_to_mean, 0.5), 2),
                format_number(percentile(results.busiest_to_mean, 0.95), 2),
                format_number(results.hits / results.requests, 3), cost});
}

} // namespace

bench_report run_routing(std::uint64_t seed)
{
    bench_report report({"endpoints", "policy", "busiest_to_mean_p50", "busiest_to_mean_p95",
                         "prefix_hits", "choice_ns"});
    for (const std::size_t count : {12U, 100U, 1000U}) {
        std::cerr << "progress endpoints=" << count << "\n";
        add_row(report, "random", count, run_policy<random_policy>(count, seed), "-");
        add_row(report, "least-reported", count, run_policy<least_reported_policy>(count, seed),
                "-");
        add_row(report, "pool", count, run_policy<pool_policy>(count, seed),
                format_number(choice_ns(count, seed), 0));
    }
    return report;
}

} // namespace currantpitch::bench
