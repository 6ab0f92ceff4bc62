#include "decisions/slopesbench.h"

#include "admission/sharegate.h"
#include "core/hashing.h"
#include "decisions/stopwatch.h"
#include "expertmaps/internal/placementsearch.h"
#include "expertmaps/planner.h"
#include "intents/catalog.h"
#include "intents/disseminator.h"
#include "intents/synctopology.h"
#include "membership/addressanswer.h"
#include "membership/presencetable.h"
#include "routing/endpointpool.h"
#include "sessions/attemptgate.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <malloc.h>
#include <random>

namespace currantpitch::bench {

namespace {

using namespace std::chrono_literals;

double heap_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// A line fitted to points by least squares.
struct fitted_line {
    double slope = 0;
    double offset = 0;
    /// Largest deviation of a point from the line, as a fraction of the largest value.
    double residual = 0;
};

fitted_line fit_line(const std::vector<std::pair<double, double>>& points)
{
    const double n = static_cast<double>(points.size());
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    double max_value = 0;
    for (const std::pair<double, double>& p : points) {
        sx += p.first;
        sy += p.second;
        sxx += p.first * p.first;
        sxy += p.first * p.second;
        max_value = std::max(max_value, std::abs(p.second));
    }
    fitted_line line;
    line.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    line.offset = (sy - line.slope * sx) / n;
    for (const std::pair<double, double>& p : points) {
        const double deviation = std::abs(line.offset + line.slope * p.first - p.second);
        line.residual = std::max(line.residual, max_value > 0 ? deviation / max_value : 0);
    }
    return line;
}

/// Measures the heap memory of the state that build creates, for each number of items.
template <class Build>
void add_memory(bench_report& report, const std::string& name,
                const std::vector<std::size_t>& counts, Build build)
{
    std::cerr << "progress " << name << "\n";
    std::vector<std::pair<double, double>> points;
    for (const std::size_t count : counts) {
        malloc_trim(0);
        const double before = heap_bytes();
        const auto state = build(count);
        points.emplace_back(static_cast<double>(count), heap_bytes() - before);
    }
    const fitted_line line = fit_line(points);
    report.add({name, "bytes", std::to_string(points.size()), format_number(line.slope, 1),
                format_number(line.offset, 0), format_number(line.residual, 4)});
}

/// Measures the time of work for each number of items. Work returns its time in nanoseconds.
template <class Work>
void add_time(bench_report& report, const std::string& name, const std::vector<std::size_t>& counts,
              Work work)
{
    std::cerr << "progress " << name << "\n";
    std::vector<std::pair<double, double>> points;
    for (const std::size_t count : counts) {
        // The fastest of several runs is the one that other load on the machine disturbs least.
        double min_ns = 1e18;
        for (int i = 0; i < 5; ++i) {
            min_ns = std::min(min_ns, work(count));
        }
        points.emplace_back(static_cast<double>(count), min_ns);
    }
    const fitted_line line = fit_line(points);
    report.add({name, "ns", std::to_string(points.size()), format_number(line.slope, 3),
                format_number(line.offset, 0), format_number(line.residual, 4)});
}

objectstore::object resource_object(const std::string& kind, const std::string& name,
                                    std::uint64_t version, boost::json::object spec)
{
    intents::resource r;
    r.kind = *intents::kind_from_string(kind);
    r.name = name;
    r.generation = 1;
    r.nonce = std::to_string(version * 7919);
    r.spec = std::move(spec);
    return {key_of(r), core::revision{version}, to_body(r), false};
}

objectstore::object workspace_object(std::size_t i)
{
    return resource_object(
        "Workspace", "workspace-" + std::to_string(i), i + 1,
        {{"services", boost::json::array{"tutor", "enrolment"}}, {"share", 3}, {"entries", 3}});
}

objectstore::object endpoint_object(std::size_t i)
{
    return resource_object("Endpoint", "endpoint-" + std::to_string(i), i + 1,
                           {{"service", "group-" + std::to_string(i / 128)},
                            {"role", "engine"},
                            {"host", "agent-" + std::to_string(i)},
                            {"rank", static_cast<std::int64_t>(i % 128)},
                            {"checks_fencing", true},
                            {"concurrency", 16}});
}

objectstore::object host_object(std::size_t i)
{
    return resource_object("Host", "agent-" + std::to_string(i), i + 1,
                           {{"role", "agent"},
                            {"failure_domain", "fd-" + std::to_string(i % 22)},
                            {"peer_address", "127.0.0.1:18000"},
                            {"incarnation", std::to_string(core::hash64("i", i))},
                            {"state", "live"}});
}

/// Replica and typed view of the configuration, as each entry has them in memory.
struct entry_configuration {
    intents::replica replica;
    intents::catalog catalog;
    void apply(const objectstore::object& o)
    {
        replica.apply(o);
        catalog.update(o);
    }
};

template <class MakeObject>
std::unique_ptr<entry_configuration> build_configuration(std::size_t count, MakeObject make)
{
    std::unique_ptr<entry_configuration> configuration = std::make_unique<entry_configuration>();
    for (std::size_t i = 0; i < count; ++i) {
        configuration->apply(make(i));
    }
    return configuration;
}

std::unique_ptr<routing::endpoint_pool> build_pool(std::size_t count)
{
    std::unique_ptr<routing::endpoint_pool> pool = std::make_unique<routing::endpoint_pool>(1);
    for (std::size_t i = 0; i < count; ++i) {
        routing::endpoint_state s;
        s.endpoint = core::endpoint_id("endpoint-" + std::to_string(i));
        s.failure_domain = core::failure_domain_id("fd-" + std::to_string(i % 22));
        s.concurrency = 16;
        s.usable = true;
        s.report = routing::reported_load{static_cast<std::uint32_t>(i % 16), {}};
        pool->update(std::move(s));
    }
    return pool;
}

void add_configuration(bench_report& report)
{
    const std::vector<std::size_t> counts = {500, 1000, 2000, 4000, 8000};
    add_memory(report, "configuration per workspace", counts,
               [](std::size_t n) { return build_configuration(n, workspace_object); });
    add_memory(report, "configuration per endpoint", counts,
               [](std::size_t n) { return build_configuration(n, endpoint_object); });
    add_memory(report, "configuration per host", counts,
               [](std::size_t n) { return build_configuration(n, host_object); });
    add_time(report, "applying changes, per change", {500, 1000, 2000, 4000}, [](std::size_t n) {
        std::vector<objectstore::object> objects;
        for (std::size_t i = 0; i < n; ++i) {
            objects.push_back(endpoint_object(i));
        }
        entry_configuration configuration;
        const stopwatch watch;
        for (const objectstore::object& o : objects) {
            configuration.apply(o);
        }
        return watch.nanoseconds();
    });
}

void add_routing(bench_report& report)
{
    add_memory(report, "pool per endpoint", {250, 500, 1000, 2000, 4000},
               [](std::size_t n) { return build_pool(n); });
    add_time(report, "load reports, per report", {1000, 2000, 4000, 8000}, [](std::size_t n) {
        const std::unique_ptr<routing::endpoint_pool> pool = build_pool(256);
        const stopwatch watch;
        for (std::size_t i = 0; i < n; ++i) {
            routing::endpoint_state s;
            s.endpoint = core::endpoint_id("endpoint-" + std::to_string(i % 256));
            s.concurrency = 16;
            s.usable = true;
            s.report = routing::reported_load{3, core::time_point(1ms * static_cast<int>(i))};
            pool->update(std::move(s));
        }
        return watch.nanoseconds();
    });
    add_time(report, "route, per request at 1000 endpoints", {10000, 20000, 40000, 80000},
             [](std::size_t n) {
                 const std::unique_ptr<routing::endpoint_pool> pool = build_pool(1000);
                 std::mt19937_64 random(1);
                 const stopwatch watch;
                 for (std::size_t i = 0; i < n; ++i) {
                     const std::optional<routing::choice> c =
                         pool->choose({random(), {}, false}, core::time_point(1ms));
                     pool->on_request_started(c->endpoint);
                     pool->on_request_finished(c->endpoint);
                 }
                 return watch.nanoseconds();
             });
}

void add_admission(bench_report& report)
{
    add_memory(
        report, "share gate per workspace", {500, 1000, 2000, 4000, 8000}, [](std::size_t n) {
            std::unique_ptr<admission::share_gate> gate = std::make_unique<admission::share_gate>();
            for (std::size_t i = 0; i < n; ++i) {
                gate->set_workspace(core::workspace_id("workspace-" + std::to_string(i)), 1, 3, 0);
            }
            return gate;
        });
    add_time(report, "admission, per request at 6300 workspaces", {10000, 20000, 40000, 80000},
             [](std::size_t n) {
                 admission::share_gate gate;
                 std::vector<core::workspace_id> names;
                 for (std::size_t i = 0; i < 6300; ++i) {
                     names.emplace_back("workspace-" + std::to_string(i));
                     gate.set_workspace(names.back(), 1, 3, 0);
                 }
                 gate.set_capacity(1e6, 0);
                 std::mt19937_64 random(1);
                 const stopwatch watch;
                 for (std::size_t i = 0; i < n; ++i) {
                     const core::workspace_id& w = names[random() % names.size()];
                     gate.request(w, 0, 1s, {});
                     gate.release(w, 10ms);
                 }
                 return watch.nanoseconds();
             });
}

void add_membership(bench_report& report)
{
    add_time(report, "address answer, per entry known", {300, 600, 1200, 2400}, [](std::size_t n) {
        std::vector<membership::known_entry> entries;
        for (std::size_t i = 0; i < n; ++i) {
            entries.push_back({core::host_id("entry-" + std::to_string(i)),
                               core::failure_domain_id("fd-" + std::to_string(i % 22)),
                               "127.0.0.1:80", false, true});
        }
        const membership::address_query query{core::workspace_id("w"), 3, 1, 1, {}, 10s};
        const stopwatch watch;
        membership::answer_addresses(query, entries);
        return watch.nanoseconds();
    });
    add_time(report, "relays and peers after a change, per entry known", {300, 600, 1200, 2400},
             [](std::size_t n) {
                 std::vector<intents::sync_member> members;
                 for (std::size_t i = 0; i < n; ++i) {
                     members.push_back({core::host_id("entry-" + std::to_string(i)),
                                        core::failure_domain_id("fd-" + std::to_string(i % 22))});
                 }
                 const stopwatch watch;
                 intents::peers_to_dial(members.front(), members);
                 return watch.nanoseconds();
             });
    add_memory(report, "presence per process observed", {500, 1000, 2000, 4000}, [](std::size_t n) {
        std::unique_ptr<membership::presence_table> table =
            std::make_unique<membership::presence_table>(core::host_id("self"),
                                                         core::incarnation{1});
        for (std::size_t i = 0; i < n; ++i) {
            table->apply({core::host_id("relay"), core::incarnation{1}, i + 1,
                          core::host_id("entry-" + std::to_string(i)), core::incarnation{i},
                          membership::presence::down});
        }
        return table;
    });
    add_time(report, "peer statuses, per status", {1000, 2000, 4000, 8000}, [](std::size_t n) {
        intents::disseminator d;
        d.on_listing({core::revision{9}, {}}, {});
        for (int i = 0; i < 150; ++i) {
            d.on_peer_up(core::host_id("p" + std::to_string(i)));
        }
        const stopwatch watch;
        for (std::size_t i = 0; i < n; ++i) {
            d.on_status(core::host_id("p" + std::to_string(i % 150)),
                        {core::revision{9}, core::revision{9}, 0}, {});
        }
        return watch.nanoseconds();
    });
}

void add_sessions(bench_report& report)
{
    add_memory(
        report, "agent's gate per unsettled attempt", {1000, 2000, 4000, 8000}, [](std::size_t n) {
            std::unique_ptr<sessions::attempt_gate> gate =
                std::make_unique<sessions::attempt_gate>(core::incarnation{1});
            const sessions::hello h{core::host_id("e"), core::incarnation{2}, core::epoch{1},
                                    core::attempt_number{1}};
            if (!gate->open(h, {})) {
                std::abort();
            }
            for (std::size_t i = 1; i <= n; ++i) {
                const core::result<void> started =
                    gate->start(core::incarnation{2}, core::epoch{1}, core::attempt_number{i});
                if (!started) {
                    std::abort();
                }
            }
            return gate;
        });
}

void add_planner(bench_report& report)
{
    add_time(report, "plan, per rank at 128 experts", {16, 32, 64, 128}, [](std::size_t n) {
        const expertmaps::map_shape shape{static_cast<std::uint32_t>(n), 128,
                                          static_cast<std::uint32_t>((128 + n - 1) / n + 2)};
        std::mt19937_64 random(7);
        std::vector<double> share(128);
        double total = 0;
        for (std::size_t i = 0; i < share.size(); ++i) {
            share[i] = 1 / std::pow(static_cast<double>(i) + 1, 0.7);
            total += share[i];
        }
        for (double& s : share) {
            s /= total;
        }
        expertmaps::planner_options options;
        options.shape = shape;
        options.replica_bytes = 3e8;
        expertmaps::planner p(options);
        expertmaps::popularity_estimate e{share, std::vector<double>(n, 1.0), false, {}};
        const expertmaps::plan first = p.make(expertmaps::initial_map(shape), e, {});
        std::uniform_real_distribution<double> change(0.7, 1.4);
        for (double& s : e.expert_share) {
            s *= change(random);
        }
        const stopwatch watch;
        p.make(first.map, e, core::time_point(10s));
        return watch.nanoseconds();
    });
}

} // namespace

bench_report run_slopes(std::uint64_t seed)
{
    (void)seed;
    bench_report report({"what", "unit", "points", "per_item", "offset", "residual"});
    add_configuration(report);
    add_routing(report);
    add_admission(report);
    add_membership(report);
    add_sessions(report);
    add_planner(report);
    return report;
}

} // namespace currantpitch::bench
