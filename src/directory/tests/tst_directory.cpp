#include "directory/endpointdirectory.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

directory::endpoint_record record(const std::string& name, bool draining = false)
{
    directory::endpoint_record r;
    r.endpoint = core::endpoint_id(name);
    r.service = core::service_id("tutor");
    r.draining = draining;
    return r;
}

const core::endpoint_id a("a");
const core::endpoint_id b("b");

} // namespace

TEST_GROUP(directories)
{
    directory::endpoint_directory known;
    core::time_point now{1h};
};

TEST(directories, removal_takes_effect_at_once)
{
    known.on_listing({record("a"), record("b")}, now);
    known.on_removal(a, now);
    CHECK(!known.usable(a));
    CHECK(known.usable(b));
}

TEST(directories, draining_endpoint_gets_no_new_work)
{
    known.apply(record("a"));
    known.apply(record("a", true));
    CHECK(!known.usable(a));
    CHECK(known.find(a) != nullptr);
}

TEST(directories, missing_endpoints_have_time_to_register_again)
{
    known.on_listing({record("a"), record("b")}, now);
    known.on_store_recovered(now);
    known.on_listing({record("b")}, now);
    CHECK(known.usable(a));
    known.apply(record("a"));
    CHECK(known.expire(now + 3s).empty());
    CHECK(known.usable(a));
}

TEST(directories, endpoints_that_do_not_register_again_are_dropped)
{
    known.on_listing({record("a"), record("b")}, now);
    known.on_store_recovered(now);
    known.on_removal(a, now + 100ms);
    CHECK(known.expire(now + 1999ms).empty());
    CHECK(known.usable(a));
    LONGS_EQUAL(1, known.expire(now + 2000ms).size());
    CHECK(!known.usable(a));
    known.on_removal(b, now + 2100ms);
    CHECK(!known.usable(b));
}

TEST(directories, successor_at_the_same_address_replaces_an_endpoint)
{
    directory::endpoint_record before = record("a");
    before.incarnation = core::incarnation{1};
    directory::endpoint_record after = record("b");
    after.incarnation = core::incarnation{2};
    before.address = after.address =
        boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address_v4("10.0.0.1"), 80);
    known.apply(before);
    CHECK(known.usable(a));
    known.apply(after);
    CHECK(!known.usable(a));
    CHECK(known.usable(b));
}

TEST(directories, draining_endpoint_is_not_waited_for)
{
    known.apply(record("a", true));
    known.on_store_recovered(now);
    known.on_removal(a, now);
    CHECK(known.find(a) == nullptr);
}

// Calls that fail now and then must not extend the time for which a removed endpoint gets requests.
TEST(directories, failed_calls_do_not_keep_a_removed_endpoint_in_use)
{
    known.on_listing({record("a"), record("b")}, now);
    known.on_store_recovered(now);
    known.on_removal(a, now + 100ms);
    known.on_store_recovered(now + 1500ms);
    known.on_listing({record("b")}, now + 1500ms);
    LONGS_EQUAL(1, known.expire(now + 2000ms).size());
    CHECK(!known.usable(a));
    CHECK(known.usable(b));
}

// An outage of this process's calls alone must not keep an endpoint in use that leaves beside it.
TEST(directories,
     endpoint_that_leaves_after_an_outage_gets_no_requests_while_the_others_are_registered)
{
    known.on_listing({record("a"), record("b"), record("c")}, now);
    known.on_store_recovered(now);
    known.on_removal(a, now + 10ms);
    LONGS_EQUAL(1, known.expire(now + 100ms).size());
    CHECK(!known.usable(a));
    CHECK(known.usable(b));
}

TEST(directories, endpoints_that_lapsed_together_have_time_to_register_again)
{
    known.on_listing({record("a"), record("b"), record("c")}, now);
    known.on_store_recovered(now);
    known.on_removal(a, now + 10ms);
    known.on_removal(b, now + 20ms);
    CHECK(known.expire(now + 100ms).empty());
    CHECK(known.usable(a));
    CHECK(known.usable(b));
    LONGS_EQUAL(2, known.expire(now + 2000ms).size());
}

TEST_GROUP(restored_directories)
{
    directory::endpoint_directory known;
    core::time_point now{1h};

    directory::endpoint_record started(const std::string& name, bool draining = false,
                                       std::uint64_t incarnation = 1)
    {
        directory::endpoint_record r = record(name, draining);
        r.incarnation = core::incarnation{incarnation};
        return r;
    }
};

TEST(restored_directories, draining_endpoint_becomes_ready_by_an_older_copy)
{
    known.on_listing({started("a"), started("b")}, now);
    known.apply(started("a", true));
    known.on_store_restored(now);
    known.on_listing({started("a"), started("b")}, now);
    CHECK(!known.usable(a));
    CHECK(known.usable(b));
    known.apply(started("a", false, 2));
    CHECK(known.usable(a));
}

TEST(restored_directories, endpoint_that_drained_and_left_comes_back_by_an_older_copy)
{
    known.on_listing({started("a", true), started("b")}, now);
    known.on_removal(a, now);
    known.on_store_restored(now + 1s);
    known.on_listing({started("a"), started("b")}, now + 1s);
    CHECK(!known.usable(a));
    CHECK(!known.readmit(now + 1s + directory::stale_registration_lifetime));
    CHECK(!known.usable(a));
}

TEST(restored_directories, endpoint_that_was_removed_comes_back_by_an_older_copy)
{
    known.on_listing({started("a"), started("b")}, now);
    known.on_removal(a, now);
    CHECK(!known.usable(a));
    now += 1s;
    known.on_store_restored(now);
    known.on_listing({started("a"), started("b")}, now);
    CHECK(!known.usable(a));
    CHECK(!known.readmit(now + directory::stale_registration_lifetime - 1ms));
    CHECK(known.readmit(now + directory::stale_registration_lifetime));
    CHECK(known.usable(a));
}

TEST(restored_directories, endpoint_that_registers_again_without_a_restore_is_used_at_once)
{
    known.on_listing({started("a"), started("b")}, now);
    known.on_removal(a, now);
    known.apply(started("a"));
    CHECK(known.usable(a));
}

// One of many endpoints had registered after the copy, and was dropped until it came back.
TEST(restored_directories, registration_that_a_restore_lost_is_dropped)
{
    known.on_listing({started("a"), started("b"), started("c"), started("d")}, now);
    known.on_store_restored(now);
    known.on_listing({started("b"), started("c"), started("d")}, now);
    CHECK(known.usable(a));
    CHECK(known.expire(now + directory::reregistration_period - 1ms).empty());
    LONGS_EQUAL(1, known.expire(now + directory::reregistration_period).size());
    CHECK(!known.usable(a));
}

TEST(directories, endpoints_of_an_evacuated_failure_domain_get_no_new_work)
{
    directory::endpoint_record evacuated = record("a");
    evacuated.failure_domain = core::failure_domain_id("fd-a");
    known.on_listing({evacuated, record("b")}, now);
    known.await_evacuations();
    CHECK(!known.usable(b));
    known.set_evacuated({evacuated.failure_domain, core::failure_domain_id("unknown")});
    CHECK(!known.usable(a));
    CHECK(known.usable(b));
    known.set_evacuated({});
    CHECK(known.usable(a));
}
