#include "core/eventlog.h"
#include "proxy/proxycontext.h"
#include "proxy/routedrequest.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

TEST_GROUP(proxy_contexts)
{
    core::asio::io_context io{1};
    proxy::proxy_context context{io.get_executor(), core::failure_domain_id("fd"),
                                 proxy::proxy_bounds{}, 1};
    const core::service_id tutor{"tutor"};

    void register_endpoint()
    {
        directory::endpoint_record r;
        r.endpoint = core::endpoint_id("a");
        r.service = tutor;
        r.concurrency = 12;
        context.endpoints.apply(r);
        context.apply_endpoints();
    }
    void configure()
    {
        routes::configuration c;
        c.version = routes::configuration_version{1};
        routes::service_profile s;
        s.service = tutor;
        s.engine.emplace();
        s.engine->concurrency = 12;
        c.services = {s};
        context.configuration.apply(std::move(c), core::boot_clock::now());
        context.apply_endpoints();
    }
    std::size_t starts()
    {
        dispatch::dispatch_request r;
        const core::time_point now = core::runtime_clock::now();
        r.deadline = now + 1s;
        std::size_t count = 0;
        while (context.service(tutor).queue.slot_scheduler().start(r, now)) {
            ++count;
        }
        return count;
    }
};

TEST(proxy_contexts, engines_registered_before_the_configuration_use_all_slots)
{
    register_endpoint();
    configure();
    DOUBLES_EQUAL(12, context.service(tutor).concurrency_controller.limit(), 1e-9);
    LONGS_EQUAL(12, starts());
}

// Guards against reserves on deployments whose operators have not asked for them.
TEST(proxy_contexts, slots_are_reserved_only_where_routes_of_the_service_differ_in_priority)
{
    for (const int second_priority : {1, 2}) {
        routes::configuration c;
        c.version = routes::configuration_version{static_cast<std::uint64_t>(second_priority)};
        for (const int priority : {1, second_priority}) {
            routes::route r;
            r.priority = priority;
            r.services.push_back({tutor, 1});
            c.routes.push_back(r);
        }
        context.configuration.apply(std::move(c), core::boot_clock::now());
        register_endpoint();
        dispatch::scheduler& scheduler = context.service(tutor).queue.slot_scheduler();
        scheduler.on_arrival(10, core::runtime_clock::now());
        scheduler.on_arrival(11, core::runtime_clock::now());
        CHECK_EQUAL(second_priority == 2, scheduler.reserve().active());
    }
}

TEST(proxy_contexts, endpoints_without_engines_use_all_slots)
{
    register_endpoint();
    LONGS_EQUAL(12, starts());
}

TEST(proxy_contexts, draining_endpoints_get_no_requests)
{
    configure();
    register_endpoint();
    directory::endpoint_record r = *context.endpoints.find(core::endpoint_id("a"));
    r.draining = true;
    context.endpoints.apply(r);
    context.apply_endpoints();
    LONGS_EQUAL(0, starts());
}

TEST_GROUP(cold_contexts)
{
    core::asio::io_context io{1};
    proxy::proxy_context context{io.get_executor(), core::failure_domain_id("fd"),
                                 proxy::proxy_bounds{}, 1};
    const core::service_id tutor{"tutor"};
    const core::endpoint_id name{"a"};

    void setup() override
    {
        core::silence_log();
        context.bounds.cold_start = backpressure::cold_bounds{1.5, 5};
    }
    void register_endpoint(std::chrono::milliseconds cold_time_left, std::uint64_t revision)
    {
        directory::endpoint_record r;
        r.endpoint = name;
        r.service = tutor;
        r.concurrency = 12;
        r.incarnation = core::incarnation{1};
        r.cold_time_left = cold_time_left;
        context.cold_times.on_registered(r, core::revision{revision}, core::runtime_clock::now());
        context.endpoints.apply(r);
        context.apply_endpoints();
    }
    void configure(std::uint64_t version, std::optional<double> rate)
    {
        routes::configuration c;
        c.version = routes::configuration_version{version};
        routes::service_profile s;
        s.service = tutor;
        s.cold_requests_per_second = rate;
        c.services = {s};
        context.configuration.apply(std::move(c), core::boot_clock::now());
        context.apply_endpoints();
    }
    std::optional<double> accepted_rate()
    {
        return context.signals.accepted_rate(name, core::runtime_clock::now());
    }
};

// Endpoints are listed before the configuration that declares their rate.
TEST(cold_contexts, endpoint_that_is_registered_first_is_unlimited)
{
    register_endpoint(60000ms, 1);
    CHECK(!accepted_rate());
    configure(1, 17);
    CHECK(accepted_rate() == 17.0);
    // An unreadable rate leaves the last valid one in force.
    configure(2, std::nullopt);
    register_endpoint(50000ms, 2);
    CHECK(accepted_rate() == 17.0);
    register_endpoint(0ms, 3);
    CHECK(!accepted_rate());
}

TEST(cold_contexts, endpoint_without_a_setting_or_a_rate_is_limited)
{
    configure(1, 0);
    register_endpoint(60000ms, 1);
    CHECK(!accepted_rate());
    context.bounds.cold_start.reset();
    configure(2, 17);
    register_endpoint(50000ms, 2);
    context.on_connection_lost(*context.endpoints.find(name));
    CHECK(!accepted_rate());
}

// An endpoint that starts again under its name is registered as before for a while.
TEST(cold_contexts, endpoint_that_loses_a_connection_is_unlimited)
{
    configure(1, 17);
    register_endpoint(0ms, 1);
    context.on_connection_lost(*context.endpoints.find(name));
    CHECK(accepted_rate() == 17.0);
    register_endpoint(0ms, 2);
    CHECK(!accepted_rate());
}

TEST_GROUP(routed_requests)
{
    routes::route urgent;
    routes::route patient;
    routes::workspace first;
    routes::workspace second;

    void setup() override
    {
        urgent.priority = 0;
        patient.priority = 2;
        first.priority = 0;
        second.priority = 1;
    }
    static proxy::routed_request request(const routes::route& r, const routes::workspace& w)
    {
        proxy::routed_request routed;
        routed.route = &r;
        routed.workspace = &w;
        return routed;
    }
};

// All workspaces of a deployment had the same priority, so that routes had none.
TEST(routed_requests, priority_of_the_route_decides_among_workspaces_of_equal_priority)
{
    CHECK(request(urgent, second).priority() < request(patient, second).priority());
    CHECK(request(urgent, second).engine_priority() < request(patient, second).engine_priority());
}

TEST(routed_requests, priority_of_the_workspace_comes_before_that_of_the_route)
{
    CHECK(request(patient, first).priority() < request(urgent, second).priority());
    CHECK(request(patient, first).engine_priority() < request(urgent, second).engine_priority());
}

TEST(routed_requests, priority_of_the_route_stands_in_for_a_workspace_without_one)
{
    second.priority.reset();
    CHECK(request(urgent, second).priority() < request(patient, second).priority());
    CHECK(request(patient, first).priority() < request(patient, second).priority());
}
