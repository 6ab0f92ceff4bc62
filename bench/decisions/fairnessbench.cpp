#include "decisions/fairnessbench.h"

#include "admission/sharegate.h"
#include "decisions/stopwatch.h"
#include "endpoints/endpointsconstants.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <random>

namespace currantpitch::bench {

namespace {

using namespace std::chrono_literals;
using admission::admission_kind;

constexpr std::size_t entry_count = 3;
constexpr std::size_t workspace_count = 10;
constexpr double capacity_slots = 192;
constexpr std::chrono::milliseconds tick_time = 10ms;
constexpr std::chrono::milliseconds service_time = 400ms;
constexpr std::chrono::milliseconds wait_timeout = 2000ms;
constexpr std::size_t measured_ticks = 6000;
constexpr std::size_t report_interval_ticks = 50;
const core::time_point start_time{std::chrono::hours(1)};

struct workspace_load {
    core::workspace_id id;
    double share = 1;
    /// Requests per second.
    double rate = 0;
};

struct workspace_counts {
    double requested = 0;
    double served = 0;
    double refused = 0;
};

/// Simulates entries with one share gate each, in front of a service whose used slots they learn
/// with a delay.
class entry_fleet {
public:
    explicit entry_fleet(std::vector<workspace_load> loads, std::uint64_t seed)
        : loads_(std::move(loads)), random_(seed), counts_(loads_.size())
    {
        for (std::size_t e = 0; e < entry_count; ++e) {
            for (const workspace_load& load : loads_) {
                gates_[e].set_workspace(load.id, load.share, entry_count, 0);
            }
        }
    }

    void set_rate(std::size_t workspace, double rate) { loads_[workspace].rate = rate; }
    void set_capacity(double slots) { slots_ = slots; }

    void run(std::size_t count, bool measured)
    {
        for (std::size_t i = 0; i < count; ++i) {
            step(measured);
        }
    }
    const std::vector<workspace_counts>& counts() const { return counts_; }

private:
    struct running_request {
        std::size_t entry = 0;
        std::size_t workspace = 0;
    };

    void step(bool measured)
    {
        now_ += tick_time;
        ++ticks_;
        for (const running_request& r : ending_requests_[now_]) {
            gates_[r.entry].release(loads_[r.workspace].id, service_time);
            --running_;
        }
        ending_requests_.erase(now_);
        if (ticks_ % report_interval_ticks == 0) {
            exchange_reports();
        }
        for (std::size_t e = 0; e < entry_count; ++e) {
            start_granted(e, measured);
            for (const admission::ticket& t : gates_[e].take_expired(now_)) {
                const std::size_t w = waiting_[e].at(t);
                counts_[w].refused += measured ? 1 : 0;
                waiting_[e].erase(t);
            }
        }
        for (std::size_t w = 0; w < loads_.size(); ++w) {
            std::poisson_distribution<int> arrivals(
                loads_[w].rate * std::chrono::duration<double>(tick_time).count());
            const int arrival_count = loads_[w].rate > 0 ? arrivals(random_) : 0;
            for (int i = 0; i < arrival_count; ++i) {
                on_arrival(random_() % entry_count, w, measured);
            }
        }
    }
    // Passes reports of agents and other entries to each gate. This happens every
    // report_interval_ticks, so a report is at most half a second old.
    void exchange_reports()
    {
        for (std::size_t e = 0; e < entry_count; ++e) {
            const double used_by_others = running_ - gates_[e].in_use();
            gates_[e].set_capacity(slots_, std::max(used_by_others, 0.0));
            for (const admission::peer_demand& d :
                 gates_[e].demands(core::host_id("e" + std::to_string(e)))) {
                for (std::size_t other = 0; other < entry_count; ++other) {
                    if (other != e) {
                        gates_[other].on_peer_demand(d, now_);
                    }
                }
            }
        }
    }
    void on_arrival(std::size_t e, std::size_t w, bool measured)
    {
        counts_[w].requested += measured ? 1 : 0;
        const admission::admission_decision a =
            gates_[e].request(loads_[w].id, 0, wait_timeout, now_);
        if (a.kind == admission_kind::refused) {
            counts_[w].refused += measured ? 1 : 0;
        }
        else if (a.kind == admission_kind::waiting) {
            waiting_[e][a.number] = w;
        }
        else {
            start_request(e, w, a.kind == admission_kind::borrowed, measured);
        }
    }
    void start_request(std::size_t e, std::size_t w, bool borrowed, bool measured)
    {
        // The agents enforce the limit of their slots. A request that they refuse is queued again.
        const double slot_limit =
            borrowed ? slots_ * endpoints::borrowing_utilization_limit : slots_;
        if (running_ + 1 > slot_limit) {
            gates_[e].release_unused(loads_[w].id);
            const admission::admission_decision retry =
                gates_[e].request(loads_[w].id, 1, wait_timeout, now_);
            if (retry.kind == admission_kind::waiting) {
                waiting_[e][retry.number] = w;
                return;
            }
            if (retry.kind != admission_kind::refused) {
                gates_[e].release_unused(loads_[w].id);
            }
            counts_[w].refused += measured ? 1 : 0;
            return;
        }
        ++running_;
        ending_requests_[now_ + service_time].push_back({e, w});
        counts_[w].served += measured ? 1 : 0;
    }
    void start_granted(std::size_t e, bool measured)
    {
        for (const admission::grant& g : gates_[e].take_grants(now_)) {
            const std::size_t w = waiting_[e].at(g.number);
            waiting_[e].erase(g.number);
            start_request(e, w, g.kind == admission_kind::borrowed, measured);
        }
    }

    std::vector<workspace_load> loads_;
    std::mt19937_64 random_;
    std::array<admission::share_gate, entry_count> gates_;
    std::array<std::map<admission::ticket, std::size_t>, entry_count> waiting_;
    std::map<core::time_point, std::vector<running_request>> ending_requests_;
    std::vector<workspace_counts> counts_;
    core::time_point now_ = start_time;
    std::size_t ticks_ = 0;
    double slots_ = capacity_slots;
    double running_ = 0;
};

/// Requests per second that the full capacity can serve.
double full_rate()
{
    return capacity_slots / std::chrono::duration<double>(service_time).count();
}

std::vector<workspace_load> loads_at(double utilization)
{
    std::vector<workspace_load> loads;
    double total = 0;
    for (std::size_t i = 0; i < workspace_count; ++i) {
        loads.push_back({core::workspace_id("w" + std::to_string(i)), i < 2 ? 4.0 : 1.0, 0});
        total += loads.back().share;
    }
    for (workspace_load& load : loads) {
        load.rate = full_rate() * utilization * load.share / total;
    }
    return loads;
}

void add_flood(bench_report& report, std::uint64_t seed, double utilization)
{
    std::vector<workspace_load> loads = loads_at(utilization);
    entry_fleet fleet(loads, seed);
    fleet.run(300, false);
    // The last workspace sends ten times its share of the requests that the full capacity can
    // serve.
    const std::size_t flooding = workspace_count - 1;
    fleet.set_rate(flooding, loads[flooding].rate / utilization * 10);
    fleet.run(measured_ticks, true);
    double min_served_fraction = 1;
    double served = 0;
    for (std::size_t w = 0; w < workspace_count; ++w) {
        const workspace_counts& c = fleet.counts()[w];
        served += c.served;
        min_served_fraction = w == flooding ? min_served_fraction
                                            : std::min(min_served_fraction, c.served / c.requested);
    }
    const workspace_counts& c = fleet.counts()[flooding];
    const double seconds = std::chrono::duration<double>(tick_time).count() * measured_ticks;
    report.add({"flood", format_number(utilization, 2), format_number(min_served_fraction, 4),
                format_number(c.served / c.requested, 4),
                format_number(served / seconds / full_rate(), 4), "-"});
}

void add_domain_loss(bench_report& report, std::uint64_t seed, double utilization)
{
    entry_fleet fleet(loads_at(utilization), seed);
    fleet.run(300, false);
    fleet.set_capacity(capacity_slots * 2 / 3);
    fleet.run(measured_ticks, true);
    double requested = 0;
    double served = 0;
    double min_served_fraction = 1;
    for (const workspace_counts& c : fleet.counts()) {
        requested += c.requested;
        served += c.served;
        min_served_fraction = std::min(min_served_fraction, c.served / c.requested);
    }
    const double seconds = std::chrono::duration<double>(tick_time).count() * measured_ticks;
    const double servable = full_rate() * 2 / 3 * seconds;
    const double unavoidable = std::max(requested - servable, 0.0) / requested;
    const double refused = 1 - served / requested;
    report.add({"domain-loss", format_number(utilization, 2), format_number(min_served_fraction, 4),
                "-", format_number(served / servable, 4), format_number(refused - unavoidable, 4)});
}

void add_cost(bench_report& report, std::uint64_t seed)
{
    admission::share_gate gate;
    std::mt19937_64 random(seed);
    constexpr std::size_t workspaces = 6300;
    std::vector<core::workspace_id> names;
    for (std::size_t i = 0; i < workspaces; ++i) {
        names.emplace_back("workspace-" + std::to_string(i));
        gate.set_workspace(names.back(), 1 + static_cast<double>(i % 7), 2, 0);
    }
    gate.set_capacity(100000, 0);
    constexpr int requests = 500000;
    const stopwatch watch;
    for (int i = 0; i < requests; ++i) {
        const core::workspace_id& w = names[random() % workspaces];
        gate.request(w, 0, 1s, start_time);
        gate.release(w, 10ms);
    }
    report.add({"cost of request and release, ns", "-", "-", "-", "-",
                format_number(watch.nanoseconds() / requests, 0)});
}

} // namespace

bench_report run_fairness(std::uint64_t seed)
{
    bench_report report({"case", "utilization_before", "worst_kept_by_others", "kept_by_flooding",
                         "capacity_used", "refused_beyond_forced"});
    for (const double utilization : {0.5, 0.8, 0.95}) {
        std::cerr << "progress utilization=" << utilization << "\n";
        add_flood(report, seed, utilization);
    }
    for (const double utilization : {0.5, 0.8, 0.95}) {
        add_domain_loss(report, seed, utilization);
    }
    add_cost(report, seed);
    return report;
}

} // namespace currantpitch::bench
