#include "dispatch/dispatchconstants.h"
#include "dispatch/pacecontroller.h"
#include "dispatch/scheduler.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;
using dispatch::work_end;

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
    dispatch::scheduler decisions{here, true, 1};
    core::time_point now{1h};

    dispatch::dispatch_request request(int priority = 0)
    {
        dispatch::dispatch_request r;
        r.priority = priority;
        r.arrived = now;
        r.give_up = now + 1s;
        return r;
    }
};

TEST(schedulers, least_loaded_endpoint_is_taken)
{
    decisions.set_endpoints({endpoint(a), endpoint(b)});
    const std::optional<core::endpoint_id> first = decisions.start(request(), now);
    const std::optional<core::endpoint_id> second = decisions.start(request(), now);
    CHECK(first && second && *first != *second);
}

TEST(schedulers, own_failure_domain_is_preferred_among_equals)
{
    decisions.set_endpoints({endpoint(a, 2, "there"), endpoint(b, 2, "here")});
    CHECK(decisions.start(request(), now) == b);
    CHECK(decisions.start(request(), now) == a);
}

TEST(schedulers, peers_load_counts_until_it_is_too_old)
{
    decisions.set_endpoints({endpoint(a)});
    decisions.on_peer_load(core::host_id("peer"), {{a, 2}}, now);
    CHECK(!decisions.start(request(), now));
    CHECK(decisions.start(request(), now + dispatch::load_report_lifetime + 1ms).has_value());
}

TEST(schedulers, excluded_endpoints_are_never_taken)
{
    decisions.set_endpoints({endpoint(a)});
    dispatch::dispatch_request r = request();
    r.excluded.insert(a);
    CHECK(!decisions.has_candidate(r));
    CHECK(!decisions.start(r, now));
}

TEST(schedulers, waiting_requests_start_by_priority_then_arrival)
{
    decisions.set_endpoints({endpoint(a, 1)});
    CHECK(decisions.start(request(), now).has_value());
    const std::optional<dispatch::ticket> late = decisions.wait(request(1));
    const std::optional<dispatch::ticket> urgent = decisions.wait(request(0));
    CHECK(decisions.take_grants(now).empty());
    decisions.finish(a, work_end::done, 10ms, now);
    const std::vector<dispatch::dispatch_grant> first = decisions.take_grants(now);
    LONGS_EQUAL(1, first.size());
    CHECK(first.front().number == *urgent);
    decisions.finish(a, work_end::done, 10ms, now);
    CHECK(decisions.take_grants(now).front().number == *late);
}

TEST(schedulers, waits_end_when_their_time_is_up)
{
    decisions.set_endpoints({endpoint(a, 1)});
    decisions.start(request(), now);
    const std::optional<dispatch::ticket> waiting = decisions.wait(request());
    CHECK(decisions.take_expired(now + 999ms).empty());
    CHECK(decisions.take_expired(now + 1s).front() == *waiting);
    LONGS_EQUAL(0, decisions.waiting());
}

TEST(schedulers, broken_endpoint_is_passed_over_longer_each_time)
{
    decisions.set_endpoints({endpoint(a), endpoint(b)});
    decisions.finish(*decisions.start(request(), now), work_end::broken, 0ms, now);
    const std::optional<core::endpoint_id> other = decisions.start(request(), now);
    CHECK(decisions.start(request(), now) == other);
    CHECK(decisions.start(request(), now + dispatch::first_failure_pause) != other);
}

TEST(schedulers, not_all_endpoints_are_passed_over)
{
    decisions.set_endpoints({endpoint(a), endpoint(b)});
    for (int i = 0; i < 4; ++i) {
        const std::optional<core::endpoint_id> taken = decisions.start(request(), now);
        CHECK(taken.has_value());
        decisions.finish(*taken, work_end::broken, 0ms, now);
    }
}

TEST(schedulers, slow_endpoint_gets_less_until_that_is_forgotten)
{
    decisions.set_endpoints({endpoint(a, 100), endpoint(b, 100)});
    for (int i = 0; i < 20; ++i) {
        const core::endpoint_id taken = *decisions.start(request(), now);
        decisions.finish(taken, work_end::done, taken == a ? 300ms : 30ms, now);
    }
    int slow = 0;
    for (int i = 0; i < 20; ++i) {
        slow += *decisions.start(request(), now) == a ? 1 : 0;
    }
    CHECK(slow < 8);
}

TEST(schedulers, running_work_of_a_removed_endpoint_is_still_counted_down)
{
    decisions.set_endpoints({endpoint(a)});
    decisions.start(request(), now);
    decisions.set_endpoints({});
    CHECK(!decisions.start(request(), now));
    decisions.finish(a, work_end::done, 1ms, now);
    LONGS_EQUAL(0, decisions.size());
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
            r.give_up = start + 1s;
            const std::optional<core::endpoint_id> taken = begin ? s.start(r, start) : std::nullopt;
            if (taken) {
                running.push_back(*taken);
            }
            if (!begin && !running.empty()) {
                s.finish(running.back(), work_end::done, 1ms, start);
                running.pop_back();
            }
            RC_ASSERT(s.load_of(a, start) <= concurrency);
            RC_ASSERT(s.load_of(a, start) + s.load_of(b, start) == running.size());
        }
    });
}

TEST_GROUP(pace_controllers){};

TEST(pace_controllers, long_pauses_lower_the_limit_to_its_least)
{
    dispatch::pace_controller pace(10);
    core::time_point now{1h};
    for (int i = 0; i < 400; ++i) {
        now += 20ms;
        pace.observe(300ms, 100ms, now);
    }
    DOUBLES_EQUAL(10 * dispatch::least_slot_share, pace.limit(), 0.01);
    CHECK(pace.mean_gap() == 300ms);
}

TEST(pace_controllers, short_pauses_raise_it_again)
{
    dispatch::pace_controller pace(10);
    core::time_point now{1h};
    for (int i = 0; i < 100; ++i) {
        now += 20ms;
        pace.observe(300ms, 100ms, now);
    }
    CHECK(pace.limit() < 10);
    for (int i = 0; i < 1000; ++i) {
        now += 20ms;
        pace.observe(40ms, 100ms, now);
    }
    DOUBLES_EQUAL(10, pace.limit(), 0.01);
}

// Many entries choose at once, and hear of each other only by reports that are some time old.
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

    /// Most requests that were ever at one endpoint, and the mean part of the limit that was used.
    struct outcome {
        unsigned most = 0;
        double used = 0;
    };

    /// Demand in parts of what the limit allows; each request takes a second.
    static outcome play(double demand)
    {
        std::mt19937_64 random(7);
        std::vector<dispatch::scheduler> all;
        std::vector<dispatch::available_endpoint> known;
        for (std::size_t e = 0; e < endpoints; ++e) {
            known.push_back(endpoint(core::endpoint_id("e" + std::to_string(e)), slots));
        }
        for (std::size_t i = 0; i < entries; ++i) {
            all.emplace_back(here, false, i + 1);
            all.back().set_endpoints(known);
            all.back().set_limit(limit);
            all.back().set_sharers(entries);
        }
        core::time_point now{1h};
        std::vector<running> work;
        outcome o;
        const auto granted = [&](std::size_t entry, const core::endpoint_id& at) {
            work.push_back({entry, at, now + 1s});
        };
        const double a_step = demand * limit * endpoints / 1000 * 10;
        for (int step = 0; step < 600; ++step) {
            now += 10ms;
            std::erase_if(work, [&](const running& r) {
                if (r.ends <= now) {
                    all[r.entry].finish(r.endpoint, work_end::done, 1s, now);
                }
                return r.ends <= now;
            });
            std::poisson_distribution<int> arrivals(a_step);
            for (int n = arrivals(random); n > 0; --n) {
                dispatch::dispatch_request r;
                r.arrived = now;
                r.give_up = now + 250ms;
                all[random() % entries].wait(r);
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
            std::map<core::endpoint_id, unsigned> at;
            for (const running& r : work) {
                o.most = std::max(o.most, ++at[r.endpoint]);
            }
            o.used += static_cast<double>(work.size()) / (limit * endpoints) / 600;
        }
        return o;
    }
};

TEST(crowds, an_overload_does_not_fill_an_endpoint_beyond_its_slots)
{
    const outcome o = play(1.5);
    CHECK_TRUE(o.most <= slots);
    CHECK_TRUE(o.used > 0.85);
}

TEST(crowds, a_moderate_load_is_served_at_once_and_evenly)
{
    const outcome o = play(0.6);
    CHECK_TRUE(o.most <= slots);
    CHECK_TRUE(o.used > 0.5);
}
