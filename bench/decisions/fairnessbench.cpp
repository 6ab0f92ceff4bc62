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
constexpr double capacity = 192;
constexpr std::chrono::milliseconds tick = 10ms;
constexpr std::chrono::milliseconds service_time = 400ms;
constexpr std::chrono::milliseconds patience = 2000ms;
constexpr std::size_t ticks = 6000;
constexpr std::size_t report_every = 50;
const core::time_point start{std::chrono::hours(1)};

struct workspace_plan {
    core::workspace_id id;
    double share = 1;
    /// Requests a second.
    double rate = 0;
};

struct workspace_count_of {
    double asked = 0;
    double served = 0;
    double refused = 0;
};

/// Entries with a gate each, before one service whose slots they see with a lag.
class fleet {
public:
    explicit fleet(std::vector<workspace_plan> plans, std::uint64_t seed)
        : plans_(std::move(plans)), random_(seed), counts_(plans_.size())
    {
        for (std::size_t e = 0; e < entry_count; ++e) {
            for (const workspace_plan& p : plans_) {
                gates_[e].set_workspace(p.id, p.share, entry_count, 0);
            }
        }
    }

    void set_rate(std::size_t workspace, double rate) { plans_[workspace].rate = rate; }
    void set_capacity(double slots) { slots_ = slots; }

    void run(std::size_t count, bool counted)
    {
        for (std::size_t i = 0; i < count; ++i) {
            step(counted);
        }
    }
    const std::vector<workspace_count_of>& counts() const { return counts_; }

private:
    struct running_request {
        std::size_t entry = 0;
        std::size_t workspace = 0;
    };

    void step(bool counted)
    {
        now_ += tick;
        ++ticks_;
        for (const running_request& r : ending_[now_]) {
            gates_[r.entry].release(plans_[r.workspace].id, service_time);
            --running_;
        }
        ending_.erase(now_);
        if (ticks_ % report_every == 0) {
            exchange_reports();
        }
        for (std::size_t e = 0; e < entry_count; ++e) {
            grant(e, counted);
            for (const admission::ticket& t : gates_[e].take_expired(now_)) {
                const std::size_t w = waiting_[e].at(t);
                counts_[w].refused += counted ? 1 : 0;
                waiting_[e].erase(t);
            }
        }
        for (std::size_t w = 0; w < plans_.size(); ++w) {
            std::poisson_distribution<int> arrivals(plans_[w].rate *
                                                    std::chrono::duration<double>(tick).count());
            const int wanted = plans_[w].rate > 0 ? arrivals(random_) : 0;
            for (int i = 0; i < wanted; ++i) {
                arrive(random_() % entry_count, w, counted);
            }
        }
    }
    // What entries hear of each other and of the agents, half a second late at the most.
    void exchange_reports()
    {
        for (std::size_t e = 0; e < entry_count; ++e) {
            const double elsewhere = running_ - gates_[e].in_use();
            gates_[e].set_capacity(slots_, std::max(elsewhere, 0.0));
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
    void arrive(std::size_t e, std::size_t w, bool counted)
    {
        counts_[w].asked += counted ? 1 : 0;
        const admission::admission_decision a = gates_[e].request(plans_[w].id, 0, patience, now_);
        if (a.kind == admission_kind::refused) {
            counts_[w].refused += counted ? 1 : 0;
        }
        else if (a.kind == admission_kind::waiting) {
            waiting_[e][a.number] = w;
        }
        else {
            begin(e, w, a.kind == admission_kind::borrowed, counted);
        }
    }
    void begin(std::size_t e, std::size_t w, bool borrowed, bool counted)
    {
        // The agents have the last word on their slots; what they refuse waits again.
        const double usable = borrowed ? slots_ * endpoints::borrowing_utilization_limit : slots_;
        if (running_ + 1 > usable) {
            gates_[e].release_unused(plans_[w].id);
            const admission::admission_decision again =
                gates_[e].request(plans_[w].id, 1, patience, now_);
            if (again.kind == admission_kind::waiting) {
                waiting_[e][again.number] = w;
                return;
            }
            if (again.kind != admission_kind::refused) {
                gates_[e].release_unused(plans_[w].id);
            }
            counts_[w].refused += counted ? 1 : 0;
            return;
        }
        ++running_;
        ending_[now_ + service_time].push_back({e, w});
        counts_[w].served += counted ? 1 : 0;
    }
    void grant(std::size_t e, bool counted)
    {
        for (const admission::grant& g : gates_[e].take_grants(now_)) {
            const std::size_t w = waiting_[e].at(g.number);
            waiting_[e].erase(g.number);
            begin(e, w, g.kind == admission_kind::borrowed, counted);
        }
    }

    std::vector<workspace_plan> plans_;
    std::mt19937_64 random_;
    std::array<admission::share_gate, entry_count> gates_;
    std::array<std::map<admission::ticket, std::size_t>, entry_count> waiting_;
    std::map<core::time_point, std::vector<running_request>> ending_;
    std::vector<workspace_count_of> counts_;
    core::time_point now_ = start;
    std::size_t ticks_ = 0;
    double slots_ = capacity;
    double running_ = 0;
};

/// Requests a second that the whole capacity can serve.
double full_rate()
{
    return capacity / std::chrono::duration<double>(service_time).count();
}

std::vector<workspace_plan> plans_at(double utilization)
{
    std::vector<workspace_plan> plans;
    double total = 0;
    for (std::size_t i = 0; i < workspace_count; ++i) {
        plans.push_back({core::workspace_id("w" + std::to_string(i)), i < 2 ? 4.0 : 1.0, 0});
        total += plans.back().share;
    }
    for (workspace_plan& p : plans) {
        p.rate = full_rate() * utilization * p.share / total;
    }
    return plans;
}

void add_flood(bench_report& report, std::uint64_t seed, double utilization)
{
    std::vector<workspace_plan> plans = plans_at(utilization);
    fleet f(plans, seed);
    f.run(300, false);
    // The last workspace asks for ten times its share of the whole.
    const std::size_t flooding = workspace_count - 1;
    f.set_rate(flooding, plans[flooding].rate / utilization * 10);
    f.run(ticks, true);
    double worst = 1;
    double served = 0;
    for (std::size_t w = 0; w < workspace_count; ++w) {
        const workspace_count_of& c = f.counts()[w];
        served += c.served;
        worst = w == flooding ? worst : std::min(worst, c.served / c.asked);
    }
    const workspace_count_of& c = f.counts()[flooding];
    const double seconds = std::chrono::duration<double>(tick).count() * ticks;
    report.add({"flood", figure(utilization, 2), figure(worst, 4), figure(c.served / c.asked, 4),
                figure(served / seconds / full_rate(), 4), "-"});
}

void add_domain_loss(bench_report& report, std::uint64_t seed, double utilization)
{
    fleet f(plans_at(utilization), seed);
    f.run(300, false);
    f.set_capacity(capacity * 2 / 3);
    f.run(ticks, true);
    double asked = 0;
    double served = 0;
    double worst = 1;
    for (const workspace_count_of& c : f.counts()) {
        asked += c.asked;
        served += c.served;
        worst = std::min(worst, c.served / c.asked);
    }
    const double seconds = std::chrono::duration<double>(tick).count() * ticks;
    const double possible = full_rate() * 2 / 3 * seconds;
    const double forced = std::max(asked - possible, 0.0) / asked;
    const double refused = 1 - served / asked;
    report.add({"domain-loss", figure(utilization, 2), figure(worst, 4), "-",
                figure(served / possible, 4), figure(refused - forced, 4)});
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
        gate.request(w, 0, 1s, start);
        gate.release(w, 10ms);
    }
    report.add({"cost of request and release, ns", "-", "-", "-", "-",
                figure(watch.nanoseconds() / requests, 0)});
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
