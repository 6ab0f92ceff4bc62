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
    const core::failure_domain_id near{"fd-b"};

    void setup() override
    {
        roster.on_listing({host("a", "fd-a", 100), host("b", "fd-b", 200), host("c", "fd-c", 300)});
    }
};

TEST(entry_rosters, one_of_each_pair_connects)
{
    const std::map<core::host_id, boost::asio::ip::tcp::endpoint> targets = roster.to_dial();
    LONGS_EQUAL(1, targets.size());
    LONGS_EQUAL(301, targets.at(core::host_id("c")).port());
}

TEST(entry_rosters, only_ready_entries_are_named_near_ones_first)
{
    roster.on_report(core::host_id("a"), true, now);
    roster.on_report(core::host_id("c"), false, now);
    const std::vector<std::string> named = roster.addresses(near, true, now);
    LONGS_EQUAL(2, named.size());
    STRCMP_EQUAL("10.0.0.1:200", named.front().c_str());
    CHECK(roster.addresses(near, false, now).front() == "10.0.0.1:100");
}

TEST(entry_rosters, silent_and_lost_peers_are_not_named)
{
    roster.on_report(core::host_id("a"), true, now);
    LONGS_EQUAL(2, roster.addresses(near, true, now).size());
    LONGS_EQUAL(1, roster.addresses(near, true, now + gateway::peer_report_lifetime + 1ms).size());
    roster.on_down(core::host_id("a"));
    LONGS_EQUAL(1, roster.addresses(near, true, now).size());
}

TEST(entry_rosters, removed_and_unreadable_hosts_are_left_out)
{
    objectstore::object gone = host("c", "fd-c", 300);
    gone.deleted = true;
    roster.take(gone);
    objectstore::object foreign = host("d", "fd-c", 400);
    foreign.body = "[1, 2]";
    roster.take(foreign);
    CHECK(roster.to_dial().empty());
    LONGS_EQUAL(2, roster.registered());
}
