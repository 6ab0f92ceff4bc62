#include "routes/configurationview.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

routes::route route_for(std::string prefix)
{
    routes::route r;
    r.host = "desk.example";
    r.path_prefix = std::move(prefix);
    r.services = {{core::service_id("one"), 90}, {core::service_id("two"), 10}};
    return r;
}

routes::configuration version(std::uint64_t number)
{
    routes::configuration c;
    c.version = routes::configuration_version{number};
    return c;
}

} // namespace

TEST_GROUP(route_tables)
{
    routes::configuration accepted;

    void setup() override
    {
        accepted.routes = {route_for("/"), route_for("/a/"), route_for("/a/b/")};
        routes::workspace w;
        w.name = core::workspace_id("mali-koderi");
        w.keys = {"k1", "k2"};
        accepted.workspaces = std::vector{w};
    }
};

TEST(route_tables, longest_prefix_wins)
{
    const routes::route_table table(accepted);
    STRCMP_EQUAL("/a/b/", table.match("desk.example", "/a/b/c")->path_prefix.c_str());
    STRCMP_EQUAL("/a/", table.match("desk.example", "/a/bc")->path_prefix.c_str());
    STRCMP_EQUAL("/", table.match("DESK.example:80", "/b")->path_prefix.c_str());
}

TEST(route_tables, unknown_hosts_and_prefixes_match_nothing)
{
    accepted.routes = {route_for("/a/")};
    const routes::route_table table(accepted);
    CHECK(table.match("other.example", "/a/b") == nullptr);
    CHECK(table.match("desk.example", "/a") == nullptr);
    CHECK(table.match("desk.example", "") == nullptr);
}

TEST(route_tables, keys_identify_their_workspace)
{
    const routes::route_table table(accepted);
    STRCMP_EQUAL("mali-koderi", table.workspace_of_key("k2")->name.str().c_str());
    CHECK(table.workspace_of_key("k3") == nullptr);
}

// Guards against a configuration without keys that is taken for one that needs none.
TEST(route_tables, only_undeclared_workspaces_open_the_routes)
{
    CHECK(routes::route_table(accepted).access_to_routes() == routes::access::keys);
    accepted.workspaces->front().keys.clear();
    CHECK(routes::route_table(accepted).access_to_routes() == routes::access::closed);
    accepted.workspaces->clear();
    CHECK(routes::route_table(accepted).access_to_routes() == routes::access::closed);
    accepted.workspaces.reset();
    CHECK(routes::route_table(accepted).access_to_routes() == routes::access::open);
}

// Engines get priorities only where they make a difference.
TEST(route_tables, services_whose_routes_differ_in_priority_are_known)
{
    routes::configuration c;
    const core::service_id mixed("mixed");
    const core::service_id alike("alike");
    for (const int priority : {1, 1, 2}) {
        routes::route r;
        r.priority = priority;
        r.services = {{mixed, 1}};
        if (priority == 1) {
            r.services.push_back({alike, 1});
        }
        c.routes.push_back(r);
    }
    const routes::route_table table(c);
    CHECK(table.priorities_differ(mixed));
    CHECK(!table.priorities_differ(alike));
}

TEST(route_tables, services_are_chosen_by_weight)
{
    const routes::route r = route_for("/");
    STRCMP_EQUAL("one", routes::choose_service(r, 0.0)->str().c_str());
    STRCMP_EQUAL("one", routes::choose_service(r, 0.89)->str().c_str());
    STRCMP_EQUAL("two", routes::choose_service(r, 0.91)->str().c_str());
    CHECK(routes::choose_service(routes::route{}, 0.5) == nullptr);
}

TEST_GROUP(configuration_views){void setup() override{core::runtime_clock::pause();
}
void teardown() override
{
    core::runtime_clock::resume();
}
}
;

TEST(configuration_views, versions_never_go_back)
{
    routes::configuration_view view;
    CHECK(view.apply(version(7), core::boot_clock::now()));
    CHECK(!view.apply(version(5), core::boot_clock::now()));
    CHECK(!view.apply(version(7), core::boot_clock::now()));
    LONGS_EQUAL(7, view.table()->version().value);
}

TEST(configuration_views, age_counts_suspensions)
{
    routes::configuration_view view;
    view.apply(version(1), core::boot_clock::now());
    core::runtime_clock::advance_to(core::runtime_clock::now() + 1s);
    CHECK(view.age() == 1s);
    core::boot_clock::suspend_for(4s);
    CHECK(view.age() == 5s);
    view.confirm_current(core::boot_clock::now() - 2s);
    CHECK(view.age() == 2s);
    // A late reply to an earlier query does not change the age.
    view.confirm_current(core::boot_clock::now() - 3s);
    CHECK(view.age() == 2s);
}
