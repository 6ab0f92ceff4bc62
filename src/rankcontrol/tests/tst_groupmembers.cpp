#include "rankcontrol/groupmembers.h"
#include "rankcontrol/memberregistration.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::rankcontrol;

namespace {

boost::asio::ip::address host(int number)
{
    return boost::asio::ip::make_address("10.0.0." + std::to_string(number));
}

} // namespace

TEST_GROUP(group_members_of_a_service)
{
    group_members members{core::service_id("draft"), 7340};

    void list(int hosts)
    {
        std::vector<directory::endpoint_record> records;
        for (int i = 1; i <= hosts; ++i) {
            directory::endpoint_record r;
            r.endpoint = core::endpoint_id("rank-" + std::to_string(i));
            r.service = core::service_id("draft");
            r.address = {host(i), 8228};
            records.push_back(r);
        }
        members.on_listing(records);
    }
    std::string candidates()
    {
        std::string text;
        for (const boost::asio::ip::tcp::endpoint& c : members.candidates()) {
            text += c.address().to_string() + " ";
        }
        return text;
    }
};

TEST(group_members_of_a_service, there_are_no_candidates_before_the_own_group_is_known)
{
    list(4);
    STRCMP_EQUAL("", candidates().c_str());
    members.set_own_group(core::group_id("a"));
    STRCMP_EQUAL("10.0.0.1 10.0.0.2 10.0.0.3 ", candidates().c_str());
}

TEST(group_members_of_a_service, hosts_of_other_groups_are_no_candidates)
{
    list(8);
    members.set_own_group(core::group_id("b"));
    members.set_registered_groups({{host(1), core::group_id("a")},
                                   {host(2), core::group_id("b")},
                                   {host(3), core::group_id("a")},
                                   {host(4), core::group_id("a")}});
    // The groups of hosts 5 to 8 are unknown.
    STRCMP_EQUAL("10.0.0.2 10.0.0.5 10.0.0.6 ", candidates().c_str());
}

TEST(group_members_of_a_service, hosts_that_left_are_no_candidates)
{
    list(8);
    members.set_own_group(core::group_id("b"));
    members.set_registered_groups({{host(1), core::group_id("b")}, {host(9), core::group_id("b")}});
    members.on_removal(core::endpoint_id("rank-1"));
    STRCMP_EQUAL("10.0.0.2 10.0.0.3 10.0.0.4 ", candidates().c_str());
    LONGS_EQUAL(7, members.host_count());
}

TEST(group_members_of_a_service, registrations_are_read_back)
{
    const member_registration r{{core::service_id("draft"), core::group_id("g0-1")}, host(4)};
    CHECK(decode_registration(encode_registration(r)).value() == r);
}

TEST(group_members_of_a_service, registrations_with_missing_or_wrong_fields_are_rejected)
{
    for (const char* const body :
         {"", "[]", "{}", R"({"service":"draft","group":7,"address":"10.0.0.1"})",
          R"({"service":"draft","group":"a","address":"somewhere"})",
          R"({"service":"draft","group":"","address":"10.0.0.1"})", "\xff\xfe{"}) {
        CHECK(decode_registration(body).error().code == core::errc::malformed);
    }
}
