#include "backpressure/backpressureconstants.h"
#include "dispatch/concurrencycontroller.h"
#include "dispatch/dispatchconstants.h"
#include "dispatch/scheduler.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;
using dispatch::work_outcome;

namespace {

const core::endpoint_id a("a");
const core::endpoint_id b("b");
const core::failure_domain_id here("here");

dispatch::available_endpoint endpoint(const core::endpoint_id& name, unsigned concurrency = 2,
                                      std::string domain = "here")
{
    return {name, core::failure_domain_id(std::move(domain)), concurrency};
}

} // namespace

TEST_GROUP(schedulers)
{
    dispatch::scheduler scheduler{here, true, 1};
    core::time_point now{1h};

    dispatch::dispatch_request request(int priority = 0)
    {
        dispatch::dispatch_request r;
        r.priority = priority;
        r.arrived = now;
        r.deadline = now + 1s;
        return r;
    }
};

TEST(schedulers, least_loaded_endpoint_is_chosen)
{
    scheduler.set_endpoints({endpoint(a), endpoint(b)});
    const std::optional<core::endpoint_id> first = scheduler.start(request(), now);
    const std::optional<core::endpoint_id> second = scheduler.start(request(), now);
    CHECK(first && second && *first != *second);
}

TEST(schedulers, own_failure_domain_is_preferred_among_equals)
{
    scheduler.set_endpoints({endpoint(a, 2, "there"), endpoint(b, 2, "here")});
    CHECK(scheduler.start(request(), now) == b);
    CHECK(scheduler.start(request(), now) == a);
}

TEST(schedulers, peer_load_counts_until_the_report_expires)
{
    scheduler.set_endpoints({endpoint(a)});
    scheduler.on_peer_load(core::host_id("peer"), {{a, 2}}, now);
    CHECK(!scheduler.start(request(), now));
    CHECK(scheduler.start(request(), now + dispatch::min_load_report_lifetime + 1ms).has_value());
}

TEST(schedulers, excluded_endpoints_are_never_chosen)
{
    scheduler.set_endpoints({endpoint(a)});
    dispatch::dispatch_request r = request();
    r.excluded.insert(a);
    CHECK(!scheduler.has_candidate(r));
    CHECK(!scheduler.start(r, now));
}

TEST(schedulers, waiting_requests_start_by_priority_then_arrival)
{
    scheduler.set_endpoints({endpoint(a, 1)});
    CHECK(scheduler.start(request(), now).has_value());
    const std::optional<dispatch::ticket> late = scheduler.enqueue(request(1));
    const std::optional<dispatch::ticket> urgent = scheduler.enqueue(request(0));
    CHECK(scheduler.take_grants(now).empty());
    scheduler.finish(a, work_outcome::done, 10ms, now);
    const std::vector<dispatch::dispatch_grant> first = scheduler.take_grants(now);
    LONGS_EQUAL(1, first.size());
    CHECK(first.front().number == *urgent);
    scheduler.finish(a, work_outcome::done, 10ms, now);
    CHECK(scheduler.take_grants(now).front().number == *late);
}

TEST(schedulers, waits_end_at_the_deadline)
{
    scheduler.set_endpoints({endpoint(a, 1)});
    scheduler.start(request(), now);
    const std::optional<dispatch::ticket> waiting = scheduler.enqueue(request());
    CHECK(scheduler.take_expired(now + 999ms).empty());
    CHECK(scheduler.take_expired(now + 1s).front() == *waiting);
    LONGS_EQUAL(0, scheduler.waiting());
}

TEST(schedulers, broken_endpoint_is_ejected_and_readmitted_later)
{
    scheduler.set_endpoints({endpoint(a), endpoint(b)});
    scheduler.finish(*scheduler.start(request(), now), work_outcome::broken, 0ms, now);
    const std::optional<core::endpoint_id> other = scheduler.start(request(), now);
    CHECK(scheduler.start(request(), now) == other);
    CHECK(scheduler.start(request(), now + dispatch::initial_failure_ejection_time) != other);
}

TEST(schedulers, not_all_endpoints_are_ejected)
{
    scheduler.set_endpoints({endpoint(a), endpoint(b)});
    for (int i = 0; i < 4; ++i) {
        const std::optional<core::endpoint_id> taken = scheduler.start(request(), now);
        CHECK(taken.has_value());
        scheduler.finish(*taken, work_outcome::broken, 0ms, now);
    }
}

TEST(schedulers, slow_endpoint_gets_fewer_requests)
{
    scheduler.set_endpoints({endpoint(a, 100), endpoint(b, 100)});
    for (int i = 0; i < 20; ++i) {
        const core::endpoint_id taken = *scheduler.start(request(), now);
        scheduler.finish(taken, work_outcome::done, taken == a ? 300ms : 30ms, now);
    }
    int slow = 0;
    for (int i = 0; i < 20; ++i) {
        slow += *scheduler.start(request(), now) == a ? 1 : 0;
    }
    CHECK(slow < 8);
}

TEST(schedulers, removed_endpoint_is_kept_until_its_requests_end)
{
    scheduler.set_endpoints({endpoint(a)});
    scheduler.start(request(), now);
    scheduler.set_endpoints({});
    CHECK(!scheduler.start(request(), now));
    scheduler.finish(a, work_outcome::done, 1ms, now);
    LONGS_EQUAL(0, scheduler.size());
}

TEST(schedulers, load_never_exceeds_the_concurrency)
{
    CHECK_PROPERTY("load stays within the concurrency", [] {
        const core::time_point start{1h};
        const unsigned concurrency = *rc::gen::inRange(1U, 5U);
        dispatch::scheduler s(here, false, 7);
        s.set_endpoints({endpoint(a, concurrency), endpoint(b, concurrency)});
        std::vector<core::endpoint_id> running;
        const std::vector<bool> steps = *rc::gen::arbitrary<std::vector<bool>>();
        for (const bool begin : steps) {
            dispatch::dispatch_request r;
            r.deadline = start + 1s;
            const std::optional<core::endpoint_id> taken = begin ? s.start(r, start) : std::nullopt;
            if (taken) {
                running.push_back(*taken);
            }
            if (!begin && !running.empty()) {
                s.finish(running.back(), work_outcome::done, 1ms, start);
                running.pop_back();
            }
            RC_ASSERT(s.load_of(a, start) <= concurrency);
            RC_ASSERT(s.load_of(a, start) + s.load_of(b, start) == running.size());
        }
    });
}

TEST_GROUP(pace_controllers){};

TEST(pace_controllers, long_gaps_lower_the_limit_to_its_minimum)
{
    dispatch::concurrency_controller controller(10);
    core::time_point now{1h};
    for (int i = 0; i < 400; ++i) {
        now += 20ms;
        controller.observe(300ms, 100ms, now);
    }
    DOUBLES_EQUAL(10 * dispatch::min_slot_fraction, controller.limit(), 0.01);
    CHECK(controller.mean_gap() == 300ms);
}

TEST(pace_controllers, short_gaps_raise_the_limit_again)
{
    dispatch::concurrency_controller controller(10);
    core::time_point now{1h};
    for (int i = 0; i < 100; ++i) {
        now += 20ms;
        controller.observe(300ms, 100ms, now);
    }
    CHECK(controller.limit() < 10);
    for (int i = 0; i < 1000; ++i) {
        now += 20ms;
        controller.observe(40ms, 100ms, now);
    }
    DOUBLES_EQUAL(10, controller.limit(), 0.01);
}

// Many entries choose endpoints at the same time, and know each other's load only from reports that
// are up to 100 ms old. Guards against entries that overload the same endpoints.
TEST_GROUP(crowds)
{
    static constexpr std::size_t entries = 30;
    static constexpr std::size_t endpoints = 50;
    static constexpr unsigned slots = 10;
    static constexpr double limit = 6;

    struct running {
        std::size_t entry;
        core::endpoint_id endpoint;
        core::time_point ends;
    };

    /// Maximum number of requests at one endpoint, and the mean fraction of the limit in use.
    struct outcome {
        unsigned max_load = 0;
        double mean_utilization = 0;
    };

    /// Simulates 6 s of load. The demand is a fraction of the capacity under the limit; each
    /// request takes 1 s.
    static outcome simulate(double demand)
    {
        std::mt19937_64 random(7);
        std::vector<dispatch::scheduler> all;
        std::vector<dispatch::available_endpoint> endpoint_list;
        for (std::size_t e = 0; e < endpoints; ++e) {
            endpoint_list.push_back(endpoint(core::endpoint_id("e" + std::to_string(e)), slots));
        }
        for (std::size_t i = 0; i < entries; ++i) {
            all.emplace_back(here, false, i + 1);
            all.back().set_endpoints(endpoint_list);
            all.back().set_limit(limit);
            all.back().set_process_count(entries);
        }
        core::time_point now{1h};
        std::vector<running> work;
        outcome o;
        const auto granted = [&](std::size_t entry, const core::endpoint_id& granted_endpoint) {
            work.push_back({entry, granted_endpoint, now + 1s});
        };
        const double arrivals_per_step = demand * limit * endpoints / 1000 * 10;
        for (int step = 0; step < 600; ++step) {
            now += 10ms;
            std::erase_if(work, [&](const running& r) {
                if (r.ends <= now) {
                    all[r.entry].finish(r.endpoint, work_outcome::done, 1s, now);
                }
                return r.ends <= now;
            });
            std::poisson_distribution<int> arrivals(arrivals_per_step);
            for (int n = arrivals(random); n > 0; --n) {
                dispatch::dispatch_request r;
                r.arrived = now;
                r.deadline = now + 250ms;
                all[random() % entries].enqueue(r);
            }
            for (std::size_t i = 0; i < entries; ++i) {
                all[i].take_expired(now);
                for (const dispatch::dispatch_grant& g : all[i].take_grants(now)) {
                    granted(i, g.endpoint);
                }
            }
            if (step % 10 == 0) {
                for (std::size_t from = 0; from < entries; ++from) {
                    const std::map<core::endpoint_id, unsigned> load = all[from].own_load();
                    for (std::size_t to = 0; to < entries; ++to) {
                        if (to != from) {
                            all[to].on_peer_load(core::host_id(std::to_string(from)), load, now);
                        }
                    }
                }
            }
            std::map<core::endpoint_id, unsigned> load_by_endpoint;
            for (const running& r : work) {
                o.max_load = std::max(o.max_load, ++load_by_endpoint[r.endpoint]);
            }
            o.mean_utilization += static_cast<double>(work.size()) / (limit * endpoints) / 600;
        }
        return o;
    }
};

TEST(crowds, an_overload_does_not_fill_an_endpoint_beyond_its_slots)
{
    const outcome o = simulate(1.5);
    CHECK_TRUE(o.max_load <= slots);
    CHECK_TRUE(o.mean_utilization > 0.85);
}

TEST(crowds, a_moderate_load_is_served_at_once_and_evenly)
{
    const outcome o = simulate(0.6);
    CHECK_TRUE(o.max_load <= slots);
    CHECK_TRUE(o.mean_utilization > 0.5);
}

// With 148 entries, reports every 100 ms took most of the processor time of each of them.
TEST(schedulers, an_entry_receives_a_bounded_number_of_load_reports)
{
    for (const std::size_t processes : {1U, 7U, 40U, 148U, 300U, 1000U}) {
        const dispatch::load_report_timing timing = dispatch::timing_for(processes);
        const std::size_t received =
            processes * 1000 / static_cast<std::size_t>(timing.interval.count());
        CHECK(received <= dispatch::max_load_reports_per_second + processes / 100 + 1);
        CHECK(timing.lifetime >= 2 * timing.refresh_interval);
    }
    LONGS_EQUAL(100, dispatch::timing_for(7).interval.count());
}

TEST(schedulers, reports_of_many_peers_stay_in_force_until_the_next_ones)
{
    scheduler.set_process_count(300);
    scheduler.on_peer_load(core::host_id("peer"), {{a, 3}}, now);
    LONGS_EQUAL(3, scheduler.load_of(a, now + 1500ms));
    LONGS_EQUAL(0, scheduler.load_of(a, now + 4s));
}

TEST_GROUP(schedulers_with_limits)
{
    dispatch::scheduler scheduler{here, true, 1};
    backpressure::endpoint_signals signals;
    core::time_point now{1h};
    std::vector<core::endpoint_id> asked;

    void setup() override
    {
        scheduler.set_signals(signals);
        scheduler.set_endpoints({endpoint(a, 100), endpoint(b, 100)});
        signals.ask_for_permit = [this](const backpressure::permit_request& r) {
            asked.push_back(r.endpoint);
        };
    }
    void limit(const core::endpoint_id& e, double per_second)
    {
        signals.on_answer({e, core::incarnation{1}, per_second, false, {}, now}, now);
    }
    void offer(const core::endpoint_id& e, bool granted, std::chrono::milliseconds starts_in)
    {
        signals.on_offer({e, granted, starts_in}, now);
    }
    dispatch::dispatch_request request()
    {
        dispatch::dispatch_request r;
        r.arrived = now;
        r.deadline = now + 100ms;
        return r;
    }
};

// Endpoints that had named a limit were chosen as often as the others.
TEST(schedulers_with_limits, limited_endpoint_is_chosen_without_a_permit)
{
    limit(a, 1);
    for (int i = 0; i < 50; ++i) {
        CHECK(scheduler.start(request(), now) == b);
    }
    CHECK(!scheduler.start_at(a, now));
}

TEST(schedulers_with_limits, permit_serves_one_request_and_expires)
{
    limit(a, 1);
    limit(b, 1);
    scheduler.request_permit(a, now);
    CHECK(!scheduler.start(request(), now));
    offer(a, true, 20ms);
    CHECK(!scheduler.start(request(), now));
    now += 20ms;
    CHECK(scheduler.start(request(), now) == a);
    CHECK(!scheduler.start(request(), now));
    scheduler.request_permit(a, now);
    offer(a, true, 0ms);
    now += backpressure::permit_lifetime;
    CHECK(!scheduler.start(request(), now));
}

TEST(schedulers_with_limits, permit_is_used_before_other_endpoints)
{
    limit(a, 1);
    scheduler.request_permit(a, now);
    offer(a, true, 0ms);
    scheduler.on_peer_load(core::host_id("peer"), {{a, 50}}, now);
    CHECK(scheduler.preferred(request(), now) == a);
}

TEST(schedulers_with_limits, requests_that_get_no_permit_in_time_wait_for_nothing)
{
    limit(a, 1);
    limit(b, 1);
    CHECK(scheduler.earliest_start(request(), now) == now);
    const std::optional<dispatch::ticket> waiting = scheduler.enqueue(request());
    CHECK(scheduler.take_grants(now).empty());
    LONGS_EQUAL(1, asked.size());
    const core::endpoint_id first = asked.front();
    offer(first, false, 400ms);
    CHECK(scheduler.take_expired(now).empty());
    CHECK(scheduler.take_grants(now).empty());
    LONGS_EQUAL(2, asked.size());
    offer(asked.back(), true, 300ms);
    CHECK(scheduler.earliest_start(request(), now) == now + 300ms);
    CHECK(scheduler.take_expired(now).front() == *waiting);
}

TEST(schedulers_with_limits, refused_callers_return_one_after_another)
{
    limit(a, 2);
    limit(b, 2);
    scheduler.set_process_count(2);
    const std::chrono::milliseconds first = scheduler.retry_after_limit(now);
    const std::chrono::milliseconds second = scheduler.retry_after_limit(now);
    CHECK(second - first >= 300ms);
    std::set<std::int64_t> later;
    for (int i = 0; i < 20; ++i) {
        later.insert(scheduler.retry_after_limit(now).count());
    }
    CHECK(later.size() > 10);
}

TEST(schedulers_with_limits, limited_endpoints_leave_no_slots_to_the_fair_share)
{
    scheduler.set_endpoints({endpoint(a, 10), endpoint(b, 10)});
    scheduler.set_process_count(2);
    limit(a, 1);
    // The peer uses its share of the slots at b.
    scheduler.on_peer_load(core::host_id("peer"), {{b, 5}}, now);
    for (int i = 0; i < 5; ++i) {
        CHECK(scheduler.start(request(), now) == b);
    }
    CHECK(!scheduler.start(request(), now));
    scheduler.request_permit(a, now);
    offer(a, true, 0ms);
    CHECK(scheduler.start(request(), now) == a);
}

TEST(schedulers_with_limits, endpoint_that_leaves_or_wants_no_requests_is_chosen)
{
    signals.on_answer({a, core::incarnation{1}, std::nullopt, true, {}, now}, now);
    for (int i = 0; i < 20; ++i) {
        CHECK(scheduler.start(request(), now) == b);
    }
    signals.on_answer({b, core::incarnation{1}, std::nullopt, false, 1000ms, now}, now);
    CHECK(!scheduler.start(request(), now));
    CHECK(scheduler.earliest_start(request(), now) == now + 1s);
    CHECK(scheduler.has_candidate(request()));
    CHECK(scheduler.retry_after_limit(now) >= 1000ms);
    CHECK(scheduler.start(request(), now + 1s) == b);
    signals.on_answer({b, core::incarnation{1}, std::nullopt, true, {}, now}, now);
    CHECK(!scheduler.has_candidate(request()));
}
