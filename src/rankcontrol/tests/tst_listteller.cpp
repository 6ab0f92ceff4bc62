#include "rankcontrol/listteller.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::rankcontrol;

TEST_GROUP(list_tellers)
{
    list_teller teller;
    list_teller::listed_layout listed{{group_epoch{1}, core::map_version{1'000'002}}};
};

TEST(list_tellers, a_list_is_told_once)
{
    CHECK(!teller.due(term{1}, std::nullopt));
    CHECK(teller.due(term{1}, listed));
    teller.on_told(term{1}, listed);
    CHECK(!teller.due(term{1}, listed));
    CHECK(teller.due(term{1}, {{group_epoch{2}, core::map_version{}}}));
}

TEST(list_tellers, a_leader_that_claims_after_it_was_told_is_told_again)
{
    teller.on_told(term{1}, listed);
    CHECK(teller.due(term{2}, listed));
}
