#include "dispatch/dispatchconstants.h"
#include "dispatch/scheduler.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;
using dispatch::work_outcome;

namespace {

const core::endpoint_id a("a");
const core::endpoint_id b("b");
const core::failure_domain_id here("here");

dispatch::available_endpoint endpoint(const core::endpoint_id& name, unsigned concurrency,
                                      std::string domain = "here")
{
    return {name, core::failure_domain_id(std::move(domain)), concurrency};
}

} // namespace

TEST_GROUP(scheduler_shares)
{
    dispatch::scheduler scheduler{here, true, 1};
    core::time_point now{1h};

    dispatch::dispatch_request request(int priority)
    {
        dispatch::dispatch_request r;
        r.priority = priority;
        r.arrived = now;
        r.deadline = now + 1s;
        return r;
    }
};

// Deployments whose routes have one priority start requests exactly as they did without a reserve.
TEST(scheduler_shares, requests_of_one_priority_start_as_without_a_reserve)
{
    dispatch::scheduler without{here, true, 1};
    for (dispatch::scheduler* s : {&scheduler, &without}) {
        s->set_endpoints({endpoint(a, 10), endpoint(b, 10, "there")});
        s->set_process_count(3);
    }
    std::mt19937_64 random(3);
    std::vector<core::endpoint_id> running;
    for (int i = 0; i < 2000; ++i) {
        now += 5ms;
        scheduler.on_arrival(1, now);
        const std::optional<core::endpoint_id> taken = scheduler.start(request(1), now);
        CHECK(taken == without.start(request(1), now));
        if (taken) {
            running.push_back(*taken);
        }
        if (!running.empty() && random() % 3 == 0) {
            scheduler.finish(running.back(), work_outcome::done, 50ms, now, 1);
            without.finish(running.back(), work_outcome::done, 50ms, now);
            running.pop_back();
        }
        const std::map<core::endpoint_id, unsigned> load{{a, random() % 6}, {b, random() % 6}};
        scheduler.on_peer_load(core::host_id("peer"), load, now, {{1, {2, 3, 0}}});
        without.on_peer_load(core::host_id("peer"), load, now);
    }
    CHECK(scheduler.may_start_in_time(request(1), now));
}

TEST(scheduler_shares, one_late_report_changes_no_share_and_a_cut_off_gateway_has_its_own)
{
    scheduler.set_process_count(4);
    LONGS_EQUAL(4, scheduler.sharing_count(now));
    for (const char* peer : {"p", "q"}) {
        scheduler.on_peer_load(core::host_id(peer), {}, now);
    }
    LONGS_EQUAL(3, scheduler.sharing_count(now));
    now += dispatch::min_load_report_lifetime + 500ms;
    LONGS_EQUAL(3, scheduler.sharing_count(now));
    scheduler.on_peer_load(core::host_id("p"), {}, now);
    LONGS_EQUAL(2, scheduler.sharing_count(now + 600ms));
    LONGS_EQUAL(4, scheduler.sharing_count(now + 3s));
}

// A gateway that is started again knows its peers' demand before it has seen requests.
TEST(scheduler_shares, priorities_are_reported_where_there_are_several)
{
    dispatch::load_report report;
    scheduler.on_arrival(2, now);
    dispatch::append_priorities(core::service_id("s"), scheduler, report, now);
    CHECK(report.priorities.empty());
    scheduler.set_endpoints({endpoint(a, 10)});
    scheduler.on_arrival(0, now);
    scheduler.start(request(2), now);
    scheduler.enqueue(request(2));
    dispatch::append_priorities(core::service_id("s"), scheduler, report, now);
    LONGS_EQUAL(2, report.priorities.size());
    LONGS_EQUAL(2, report.priorities.back().priority);
    LONGS_EQUAL(1, report.priorities.back().running);
    LONGS_EQUAL(1, report.priorities.back().waiting);
}
