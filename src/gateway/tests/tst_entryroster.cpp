#include "gateway/entryroster.h"
#include "gateway/gatewayconstants.h"
#include "intents/resource.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

objectstore::object host(const std::string& name, const std::string& domain, int port)
{
    intents::host_spec spec;
    spec.role = intents::host_role::entry;
    spec.failure_domain = core::failure_domain_id(domain);
    spec.caller_address = "10.0.0.1:" + std::to_string(port);
    spec.peer_address = "10.0.0.1:" + std::to_string(port + 1);
    spec.incarnation = core::incarnation{7};
    intents::resource r;
    r.kind = intents::resource_kind::host;
    r.name = name;
    r.generation = 1;
    r.spec = intents::to_json(spec);
    objectstore::object o;
    o.key = intents::key_of(r);
    o.version = core::revision{1};
    o.body = intents::to_body(r);
    return o;
}

} // namespace

TEST_GROUP(entry_rosters)
{
    gateway::entry_roster roster{core::host_id("b")};
    core::time_point now{1h};
    const core::failure_domain_id caller_failure_domain{"fd-b"};

    void setup() override
    {
        roster.on_listing({host("a", "fd-a", 100), host("b", "fd-b", 200), host("c", "fd-c", 300)});
    }
};

TEST(entry_rosters, one_of_each_pair_connects)
{
    const std::map<core::host_id, boost::asio::ip::tcp::endpoint> targets = roster.dial_targets();
    LONGS_EQUAL(1, targets.size());
    LONGS_EQUAL(301, targets.at(core::host_id("c")).port());
}

TEST(entry_rosters, only_ready_entries_are_listed_with_callers_failure_domain_first)
{
    roster.on_report(core::host_id("a"), true, now);
    roster.on_report(core::host_id("c"), false, now);
    const std::vector<std::string> addresses = roster.addresses(caller_failure_domain, true, now);
    LONGS_EQUAL(2, addresses.size());
    STRCMP_EQUAL("10.0.0.1:200", addresses.front().c_str());
    CHECK(roster.addresses(caller_failure_domain, false, now).front() == "10.0.0.1:100");
}

TEST(entry_rosters, peers_with_expired_reports_or_lost_connections_are_not_listed)
{
    roster.on_report(core::host_id("a"), true, now);
    LONGS_EQUAL(2, roster.addresses(caller_failure_domain, true, now).size());
    LONGS_EQUAL(
        1, roster.addresses(caller_failure_domain, true, now + gateway::peer_report_lifetime + 1ms)
               .size());
    roster.on_peer_down(core::host_id("a"));
    LONGS_EQUAL(1, roster.addresses(caller_failure_domain, true, now).size());
}

TEST(entry_rosters, removed_and_unreadable_hosts_are_left_out)
{
    objectstore::object deleted = host("c", "fd-c", 300);
    deleted.deleted = true;
    roster.on_change(deleted);
    objectstore::object unreadable = host("d", "fd-c", 400);
    unreadable.body = "[1, 2]";
    roster.on_change(unreadable);
    CHECK(roster.dial_targets().empty());
    LONGS_EQUAL(2, roster.registered_count());
}

// Entries that had registered after the copy were neither listed nor connected for seconds.
TEST(entry_rosters, entry_that_a_restore_has_lost_is_dropped)
{
    roster.on_report(core::host_id("c"), true, now);
    const core::store_era restored{1};
    roster.on_listing({host("a", "fd-a", 100)}, restored, now);
    CHECK(roster.dial_targets().contains(core::host_id("c")));
    LONGS_EQUAL(1, roster.addresses(caller_failure_domain, false, now).size());
    // This entry registers again.
    CHECK(roster.own_spec() == nullptr);
    roster.on_listing({host("a", "fd-a", 100)}, restored, now + 5s);
    CHECK(roster.dial_targets().contains(core::host_id("c")));
    roster.on_listing({host("a", "fd-a", 100)}, restored,
                      now + gateway::host_reregistration_period);
    CHECK(roster.dial_targets().empty());
}
