#include "entry/internal/answerjson.h"

#include <boost/json.hpp>

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

TEST_GROUP(answers){};

TEST(answers, refusals_carry_outcome_and_retry_delay)
{
    const http::response answer = entry::not_run_answer(503, "leaving", 1500ms);
    CHECK(answer.header_value("Retry-After") == "2");
    CHECK(answer.header_value("X-Outcome") == "not_run");
    CHECK(boost::json::parse(answer.body).as_object().at("reason").as_string() == "leaving");
    CHECK(!entry::unknown_answer(504, "x").header_value("Retry-After").has_value());
}

TEST(answers, final_event_carries_count_and_checksum)
{
    const std::string event = entry::done_event(3, 18446744073709551615U);
    CHECK(event.starts_with("event: done\ndata: "));
    CHECK(event.find("18446744073709551615") != std::string::npos);
    CHECK(event.ends_with("\n\n"));
}
