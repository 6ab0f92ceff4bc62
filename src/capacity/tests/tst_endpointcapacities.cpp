#include "capacity/capacityconstants.h"
#include "capacity/endpointcapacities.h"

#include "CppUTest/TestHarness.h"

#include <cmath>

using namespace currantpitch;
using namespace std::chrono_literals;
using capacity::request_end;

namespace {

const core::endpoint_id a("a");
const core::endpoint_id b("b");
const core::endpoint_id c("c");
constexpr unsigned slots = 6;

/// Seeds of the random latencies. Every test runs with all of them.
constexpr std::uint64_t seed_count = 5;

} // namespace

TEST_GROUP(learned_capacities)
{
    std::mt19937_64 random{1};
    core::time_point now{1h};
    std::optional<capacity::endpoint_capacities> capacities;

    void begin(std::uint64_t seed, bool together = false)
    {
        random.seed(seed);
        capacities.emplace(seed);
        capacities->set_advance_together(together);
        capacities->set_endpoints({{a, {1}, slots}, {b, {2}, slots}, {c, {3}, slots}});
    }
    /// 30 ms, log-normal; one in a hundred takes five times as long.
    core::duration noisy(double factor)
    {
        const double ms = std::lognormal_distribution<double>(std::log(30), 0.4)(random) * factor *
                          (std::bernoulli_distribution(0.01)(random) ? 5 : 1);
        return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
    }
    void request(const core::endpoint_id& endpoint, double factor, unsigned load = 1,
                 request_end end = request_end::answered)
    {
        const capacity::started_request started = capacities->on_started(endpoint, load);
        capacities->on_finished(started, noisy(factor), end, now);
    }
    /// Requests at all endpoints in turn, 36 in a second.
    void run(core::duration time, double of_a, double of_b = 1, double of_c = 1, unsigned load = 1)
    {
        for (const core::time_point end = now + time; now < end; now += 83ms) {
            request(a, of_a, load);
            request(b, of_b, load);
            request(c, of_c, load);
            concurrency(a);
        }
    }
    unsigned concurrency(const core::endpoint_id& endpoint)
    {
        return capacities->concurrency_of(endpoint, slots, now);
    }
    void check_all_full()
    {
        LONGS_EQUAL(slots, concurrency(a));
        LONGS_EQUAL(slots, concurrency(b));
        LONGS_EQUAL(slots, concurrency(c));
    }
};

// Guards against a slow endpoint that keeps its share of the requests.
TEST(learned_capacities, step_down_is_followed_within_two_seconds)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        begin(seed);
        run(10s, 1);
        check_all_full();
        run(2s, 6);
        LONGS_EQUAL(1, concurrency(a));
        LONGS_EQUAL(slots, concurrency(b));
    }
}

// Guards against a recovered endpoint that stays reduced.
TEST(learned_capacities, step_up_is_followed_within_two_seconds)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        begin(seed);
        run(10s, 1);
        run(5s, 6);
        run(2s, 1);
        check_all_full();
    }
}

// Guards against a reduction that starts too late when there is no step.
TEST(learned_capacities, slow_drift_is_followed)
{
    begin(1);
    for (int step = 0; step <= 40; ++step) {
        run(1s, 1 + step * 0.05);
    }
    CHECK(concurrency(a) <= slots / 2);
    LONGS_EQUAL(slots, concurrency(b));
}

// Guards against a slow endpoint that is compared with itself because the others have few samples.
TEST(learned_capacities, few_samples_of_the_others_suffice)
{
    begin(1);
    for (int i = 0; i < 7; ++i) {
        request(b, 1);
        request(c, 1);
    }
    for (int i = 0; i < 40; ++i) {
        now += 83ms;
        request(a, 6);
        concurrency(a);
    }
    LONGS_EQUAL(1, concurrency(a));
    LONGS_EQUAL(1, capacities->take_changes().size());
}

// Guards against a reference that moves to the slow endpoints when they are the majority.
TEST(learned_capacities, two_slow_ones_of_three_are_reduced)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        begin(seed);
        run(10s, 1);
        run(4s, 4, 4);
        CHECK(concurrency(a) <= slots / 2);
        CHECK(concurrency(b) <= slots / 2);
        LONGS_EQUAL(slots, concurrency(c));
    }
}

// Guards against giving up slots when no endpoint is better than another.
TEST(learned_capacities, a_slowdown_of_all_reduces_none_for_long)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        begin(seed);
        run(10s, 1);
        run(3s, 4, 4, 4);
        check_all_full();
        run(60s, 4, 4, 4);
        check_all_full();
    }
}

// Guards against false reductions: no change in an hour with outliers.
TEST(learned_capacities, noise_changes_nothing)
{
    begin(7);
    run(1h, 1);
    LONGS_EQUAL(0, capacities->take_changes().size());
}

// Guards against one outlier that starves an endpoint.
TEST(learned_capacities, two_outliers_change_nothing)
{
    begin(1);
    run(5s, 1);
    request(a, 100);
    request(a, 100);
    now += 1s;
    check_all_full();
}

// Guards against slots that are filled although the endpoint serves fewer requests in a second from
// two of six on.
TEST(learned_capacities, saturation_far_below_the_slots_is_found)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        begin(seed);
        for (int i = 0; i < 60; ++i) {
            run(83ms, 1, 1, 1, 1);
            run(83ms, 1, 1, 1, 2);
            run(83ms, 5, 5, 5, 5);
        }
        for (const core::endpoint_id& e : {a, b, c}) {
            CHECK(concurrency(e) <= 3);
            LONGS_EQUAL(concurrency(e), capacities->limit_of(e, slots, now));
        }
        // The limit rises again once no request has met the saturation for some time.
        run(15s, 1);
        check_all_full();
    }
}

// Guards against a limit where requests are served as fast at the endpoint as from a queue: there
// the latency rises in proportion to the load.
TEST(learned_capacities, a_latency_in_proportion_to_the_load_limits_nothing)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        begin(seed);
        for (int i = 0; i < 200; ++i) {
            run(83ms, 1, 1, 1, 1);
            run(83ms, 1, 1, 1, 2);
            run(83ms, 2.5, 2.5, 2.5, 5);
        }
        check_all_full();
    }
}

// Guards against an endpoint that fails quickly and looks fast.
TEST(learned_capacities, failures_reduce_the_endpoint_that_has_them)
{
    begin(1);
    run(5s, 1);
    for (int i = 0; i < 12; ++i) {
        now += 83ms;
        request(a, 0.1, 1, request_end::failed);
        request(b, 1);
        request(c, 1);
    }
    now += 1s;
    LONGS_EQUAL(1, concurrency(a));
    LONGS_EQUAL(slots, concurrency(b));
}

// Guards against a slow endpoint that is overlooked because no request there ends with an answer.
TEST(learned_capacities, requests_without_an_end_count_once_they_are_slow)
{
    begin(1);
    run(5s, 1);
    for (int i = 0; i < 12; ++i) {
        request(b, 0.3, 1, request_end::unfinished);
    }
    now += 1s;
    LONGS_EQUAL(slots, concurrency(b));
    for (int i = 0; i < 12; ++i) {
        request(b, 12, 1, request_end::unfinished);
    }
    now += 1s;
    LONGS_EQUAL(1, concurrency(b));
}

// Guards against an endpoint without requests that is never tried again.
TEST(learned_capacities, a_reduced_endpoint_is_probed_and_rises_without_samples)
{
    begin(1);
    run(5s, 1);
    run(3s, 6);
    LONGS_EQUAL(1, concurrency(a));
    int probes = 0;
    for (int i = 0; i < 100; ++i) {
        now += 27ms;
        probes += capacities->take_probe(a, now) ? 1 : 0;
        CHECK(!capacities->take_probe(b, now));
    }
    CHECK(probes == 1);
    now += capacity::limit_hold_time + slots * capacity::limit_rise_time;
    check_all_full();
}

// Guards against the samples of a stopped process that count for its successor.
TEST(learned_capacities, a_new_incarnation_starts_fresh)
{
    begin(1);
    run(5s, 1);
    run(3s, 6);
    const capacity::started_request of_old = capacities->on_started(a, 1);
    capacities->set_endpoints({{a, {9}, slots}, {b, {2}, slots}, {c, {3}, slots}});
    LONGS_EQUAL(slots, concurrency(a));
    for (int i = 0; i < 12; ++i) {
        capacities->on_finished(of_old, 1s, request_end::answered, now);
    }
    capacities->on_peer_report(core::host_id("p"), {{a, {1}, {{1, 1s, 0ms}, {1, 1s, 0ms}}}}, now);
    now += 1s;
    LONGS_EQUAL(slots, concurrency(a));
}

// Guards against an entry with few requests that has to learn everything by itself.
TEST(learned_capacities, entries_learn_from_the_reports_of_peers)
{
    begin(1);
    capacity::endpoint_capacities entry(2);
    entry.set_endpoints({{a, {1}, slots}, {b, {2}, slots}, {c, {3}, slots}});
    for (int second = 0; second < 8; ++second) {
        run(1s, second < 4 ? 1 : 6);
        // One report in two is lost, and the others arrive late.
        const std::vector<capacity::endpoint_samples> report = capacities->report(now);
        if (second % 2 == 1) {
            entry.on_peer_report(core::host_id("p"), report, now + 300ms);
        }
    }
    LONGS_EQUAL(1, entry.concurrency_of(a, slots, now + 300ms));
    LONGS_EQUAL(slots, entry.concurrency_of(b, slots, now + 300ms));
    CHECK(capacities->report(now + 1ms).empty());
}

// Guards against a peer with wrong samples, whether it praises or blames an endpoint.
TEST(learned_capacities, a_peer_that_lies_is_outvoted)
{
    begin(1);
    const auto lie = [this](const core::endpoint_id& endpoint, std::uint64_t incarnation,
                            std::chrono::microseconds latency) {
        const std::vector<capacity::reported_sample> samples(100, {1, latency, 0ms});
        capacities->on_peer_report(core::host_id("liar"), {{endpoint, {incarnation}, samples}},
                                   now);
    };
    run(5s, 1);
    for (int second = 0; second < 20; ++second) {
        lie(a, 1, 0us);
        lie(b, 2, 59s);
        run(1s, 1);
        check_all_full();
    }
    for (int second = 0; second < 10; ++second) {
        lie(c, 3, 1ms);
        run(1s, 1, 1, 6);
    }
    LONGS_EQUAL(1, concurrency(c));
}

// Guards against samples that no honest peer sends.
TEST(learned_capacities, invalid_samples_are_ignored)
{
    begin(1);
    const std::vector<capacity::reported_sample> invalid{
        {0, -1us, 0ms}, {1, 1h, 0ms}, {1, 1ms, -5s}, {1, 1ms, 1h}};
    for (int i = 0; i < 10; ++i) {
        capacities->on_peer_report(core::host_id("p"), {{a, {1}, invalid}}, now);
    }
    now += 1s;
    check_all_full();
    LONGS_EQUAL(0, capacities->take_changes().size());
}

// Guards against holding the load of a rank responsible for a latency of the whole group.
TEST(learned_capacities, in_a_group_the_load_limits_nothing)
{
    begin(1, true);
    for (int i = 0; i < 60; ++i) {
        run(83ms, 1, 1, 1, 1);
        run(83ms, 1, 1, 1, 2);
        run(83ms, 5, 5, 5, 5);
    }
    check_all_full();
}

// Guards against holding one rank responsible for a pass that all ranks execute together.
TEST(learned_capacities, in_a_group_only_the_excess_over_the_median_counts)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        begin(seed, true);
        run(10s, 1, 1, 1, 3);
        run(30s, 6, 6, 6, 6);
        check_all_full();
        LONGS_EQUAL(0, capacities->take_changes().size());
        run(5s, 6, 6, 36, 6);
        LONGS_EQUAL(slots, concurrency(a));
        LONGS_EQUAL(std::lround(slots * capacity::min_group_fraction), concurrency(c));
    }
}
