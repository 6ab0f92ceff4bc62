#include "proxy/eventstream.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;

namespace {

std::string event(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: text " + std::to_string(id) + "\n\n";
}

std::string events(std::uint64_t from, std::uint64_t to)
{
    std::string all;
    for (std::uint64_t id = from; id <= to; ++id) {
        all += event(id);
    }
    return all;
}

} // namespace

TEST_GROUP(event_sequences){
    /// What comes out for some bytes.
    static std::string taken(proxy::event_sequence & s,
                             std::string_view bytes){CHECK(s.take(bytes).has_value());
std::string out = s.unsent();
s.on_sent();
return out;
}
}
;

TEST(event_sequences, ids_are_read)
{
    CHECK(proxy::event_id(event(12)) == 12);
    CHECK(proxy::event_id("id:7\n\n") == 7);
    CHECK(!proxy::event_id("data: 3\n\n").has_value());
    CHECK(!proxy::event_id("id: x\n\n").has_value());
}

TEST(event_sequences, only_whole_events_come_out)
{
    proxy::event_sequence s(std::nullopt);
    const std::string text = event(0);
    CHECK(taken(s, text.substr(0, 9)).empty());
    CHECK(!s.at_boundary());
    CHECK(taken(s, text.substr(9)) == text);
    CHECK(s.at_boundary());
}

TEST(event_sequences, resumed_attempt_repeats_nothing)
{
    proxy::event_sequence s(std::nullopt);
    CHECK(taken(s, events(0, 3) + "id: 4\nda") == events(0, 3));
    s.begin_attempt();
    CHECK(taken(s, events(2, 5)) == events(4, 5));
    CHECK(s.last() == 5);
    CHECK(s.count() == 6);
}

TEST(event_sequences, an_attempt_that_ends_before_its_events_were_sent_loses_none)
{
    proxy::event_sequence s(std::nullopt);
    CHECK(s.take(events(0, 3)).has_value());
    s.begin_attempt();
    CHECK(taken(s, events(4, 5)) == events(0, 5));
}

TEST(event_sequences, events_before_a_gap_are_kept)
{
    proxy::event_sequence s(std::nullopt);
    CHECK(!s.take(events(0, 3) + event(5)).has_value());
    CHECK(s.last() == 3);
    s.begin_attempt();
    CHECK(taken(s, events(4, 5)) == events(0, 5));
}

TEST(event_sequences, gap_breaks_the_attempt)
{
    proxy::event_sequence s(std::nullopt);
    CHECK(s.take(events(0, 3)).has_value());
    CHECK(!s.take(event(5)).has_value());
    proxy::event_sequence resumed(std::uint64_t{7});
    CHECK(!resumed.take(event(9)).has_value());
}

TEST(event_sequences, event_without_an_id_breaks_the_attempt)
{
    proxy::event_sequence s(std::nullopt);
    CHECK(!s.take("data: x\n\n").has_value());
}

TEST(event_sequences, cuts_at_any_place_give_every_event_once)
{
    CHECK_PROPERTY("attempts that break anywhere give every event once", [] {
        const std::uint64_t last = *rc::gen::inRange<std::uint64_t>(1, 20);
        proxy::event_sequence s(std::nullopt);
        std::string out;
        const std::vector<std::size_t> cuts = *rc::gen::arbitrary<std::vector<std::size_t>>();
        const auto attempt = [&](std::size_t cut) {
            std::string rest = events(s.last() ? *s.last() + 1 : 0, last);
            rest.resize(cut % (rest.size() + 1));
            const std::size_t middle = rest.size() / 2;
            out += taken(s, rest.substr(0, middle));
            out += taken(s, rest.substr(middle));
            s.begin_attempt();
        };
        for (const std::size_t cut : cuts) {
            attempt(cut);
        }
        out += taken(s, events(s.last() ? *s.last() + 1 : 0, last));
        RC_ASSERT(out == events(0, last));
    });
}
