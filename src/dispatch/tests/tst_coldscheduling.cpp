#include "dispatch/scheduler.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

const core::endpoint_id a("a");
const core::endpoint_id b("b");
const core::failure_domain_id here("here");

dispatch::available_endpoint endpoint(const core::endpoint_id& name, unsigned concurrency)
{
    return {name, here, concurrency};
}

} // namespace

TEST_GROUP(schedulers_with_cold_endpoints)
{
    dispatch::scheduler scheduler{here, true, 1};
    backpressure::endpoint_signals signals;
    core::time_point now{1h};
    std::vector<backpressure::permit_request> asked;
    std::set<core::endpoint_id> at_hand;

    void setup() override
    {
        scheduler.set_signals(signals);
        scheduler.set_endpoints({endpoint(a, 100), endpoint(b, 100)});
        signals.own_permit_at = [this](const core::endpoint_id& e, double, core::time_point t) {
            return at_hand.contains(e) ? t : core::time_point::max();
        };
        signals.ask_for_permit = [this](const backpressure::permit_request& r) {
            asked.push_back(r);
            if (at_hand.erase(r.endpoint) > 0) {
                signals.on_offer({r.endpoint, true, 0ms, r.number}, now);
            }
        };
    }
    void cold(const core::endpoint_id& e)
    {
        signals.on_cold(e, core::incarnation{1}, 17, 3000ms, now);
    }
    dispatch::dispatch_request request()
    {
        dispatch::dispatch_request r;
        r.arrived = now;
        r.deadline = now + 100ms;
        return r;
    }
};

// Each request that preferred a cold endpoint waited for a permit, although others were free.
TEST(schedulers_with_cold_endpoints, request_waits_for_a_permit_while_another_endpoint_is_free)
{
    cold(a);
    scheduler.on_peer_load(core::host_id("peer"), {{b, 99}}, now);
    CHECK(scheduler.preferred(request(), now) == b);
    scheduler.on_peer_load(core::host_id("peer"), {{b, 100}}, now);
    CHECK(scheduler.preferred(request(), now) == a);
}

TEST(schedulers_with_cold_endpoints, permit_at_hand_is_left_unused_or_used_twice)
{
    cold(a);
    cold(b);
    at_hand = {a};
    CHECK(scheduler.preferred(request(), now) == a);
    CHECK(scheduler.start(request(), now) == a);
    CHECK(!scheduler.start(request(), now));
    LONGS_EQUAL(1, asked.size());
}

TEST(schedulers_with_cold_endpoints, load_stays_away_after_the_cold_time)
{
    cold(a);
    cold(b);
    CHECK(!scheduler.start(request(), now));
    now += 3s;
    CHECK(scheduler.start(request(), now).has_value());
    CHECK(asked.empty());
}

// A request that no endpoint can take now is kept if a permit is possible before its deadline.
TEST(schedulers_with_cold_endpoints,
     request_is_refused_although_the_cold_time_ends_before_its_deadline)
{
    signals.on_cold(a, core::incarnation{1}, 17, 50ms, now);
    scheduler.set_endpoints({endpoint(a, 100)});
    scheduler.request_permit(a, now);
    signals.on_offer({a, false, 1000ms, asked.back().number}, now);
    CHECK(scheduler.refused_at_once(a, now));
    CHECK(scheduler.earliest_start(request(), now) == now + 50ms);
}
