#include "rankcontrol/expertlisttracker.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::rankcontrol;

TEST_GROUP(list_tellers)
{
    expert_list_tracker tracker;
    expert_list_tracker::layout_id id{{group_epoch{1}, core::map_version{1'000'002}}};
};

TEST(list_tellers, a_list_is_sent_once)
{
    CHECK(!tracker.due(term{1}, std::nullopt));
    CHECK(tracker.due(term{1}, id));
    tracker.on_sent(term{1}, id);
    CHECK(!tracker.due(term{1}, id));
    CHECK(tracker.due(term{1}, {{group_epoch{2}, core::map_version{}}}));
}

TEST(list_tellers, a_list_is_sent_again_in_a_new_term)
{
    tracker.on_sent(term{1}, id);
    CHECK(tracker.due(term{2}, id));
}
