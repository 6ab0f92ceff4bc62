#include "proxy/proxycontext.h"

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
