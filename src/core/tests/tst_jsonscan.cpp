#include "support/rapidcheck.h"

#include "core/jsonscan.h"

#include <boost/json.hpp>

#include "CppUTest/TestHarness.h"

using namespace currantpitch;

TEST_GROUP(json_scans){};

TEST(json_scans, members_are_found_at_the_first_level_only)
{
    const std::string text = R"( {"a" : {"b":1}, "c\"":"}", "b":[2,{"x":"]"}] ,"d": -1.5e9})";
    CHECK(core::json_member(text, "a") == R"({"b":1})");
    CHECK(core::json_member(text, "b") == R"([2,{"x":"]"}])");
    CHECK(core::json_member(text, "d") == "-1.5e9");
    CHECK(!core::json_member(text, "x"));
    CHECK(core::json_elements(*core::json_member(text, "b"))->size() == 2);
    CHECK(core::json_elements("[]")->empty());
}

TEST(json_scans, texts_that_are_not_complete_are_refused)
{
    for (const char* const text :
         {"", "{", "{}", "[", R"({"a")", R"({"a":)", R"({"a":})", R"({"a":"x)", "7"}) {
        CHECK(!core::json_member(text, "a"));
    }
    for (const char* const text : {"", "[1", "[1,", "[,]", "{}", R"(["x)"}) {
        CHECK(!core::json_elements(text));
    }
}

TEST(json_scans, depth_is_not_limited)
{
    const std::string deep = std::string(200000, '[') + std::string(200000, ']');
    const std::string text = "{\"a\":" + deep + ",\"b\":1}";
    CHECK(core::json_member(text, "a") == deep);
    CHECK(core::json_member(text, "b") == "1");
}

TEST(json_scans, any_bytes_are_scanned_or_refused)
{
    CHECK_PROPERTY("members of any bytes", [](const std::string& bytes) {
        core::json_member("{" + bytes, "a");
        core::json_elements("[" + bytes);
    });
    CHECK_PROPERTY("members as parsed", [](const std::vector<std::string>& values) {
        boost::json::object o;
        boost::json::array a;
        for (const std::string& v : values) {
            boost::json::string text(v);
            a.emplace_back(text);
            o["k" + std::to_string(o.size())] = boost::json::array{text, boost::json::object{}};
        }
        const std::string text = boost::json::serialize(o);
        for (const auto& member : o) {
            RC_ASSERT(core::json_member(text, member.key()) ==
                      boost::json::serialize(member.value()));
        }
        RC_ASSERT(core::json_elements(boost::json::serialize(a))->size() == values.size());
    });
}
