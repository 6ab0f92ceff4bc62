#include "agent/agentconfiguration.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::agent;

namespace {

objectstore::object endpoint_object(const std::string& name, std::uint64_t version,
                                    const std::string& desired)
{
    intents::resource r;
    r.kind = intents::resource_kind::endpoint;
    r.name = name;
    r.generation = 1;
    r.nonce = "n";
    r.spec = {{"service", "g"},   {"role", "engine"},       {"host", "h"},
              {"concurrency", 4}, {"checks_fencing", true}, {"desired", desired}};
    return {key_of(r), core::revision{version}, to_body(r), false};
}

bool is_leaving(const agent_configuration_store& store, const std::string& name)
{
    return store.catalog().endpoints().at(core::endpoint_id(name)).spec.desired ==
           intents::desired_state::leaving;
}

} // namespace

TEST_GROUP(configuration)
{
    agent_configuration_store store;
};

TEST(configuration, older_message_of_a_lagging_entry_changes_nothing)
{
    CHECK(store.apply({core::revision{5}, {endpoint_object("e", 5, "leaving")}}));
    CHECK(!store.apply({core::revision{3}, {endpoint_object("e", 3, "serving")}}));
    CHECK(is_leaving(store, "e"));
    CHECK(store.revision() == core::revision{5});
}

TEST(configuration, newest_message_removes_objects_that_it_does_not_list)
{
    CHECK(store.apply({core::revision{5},
                       {endpoint_object("e", 5, "serving"), endpoint_object("f", 4, "serving")}}));
    CHECK(store.apply({core::revision{5}, {endpoint_object("e", 5, "serving")}}));
    LONGS_EQUAL(1, store.catalog().endpoints().size());
}

TEST(configuration, older_message_removes_nothing)
{
    CHECK(store.apply({core::revision{5}, {endpoint_object("f", 5, "serving")}}));
    CHECK(store.apply({core::revision{4}, {endpoint_object("e", 4, "serving")}}));
    LONGS_EQUAL(2, store.catalog().endpoints().size());
}
