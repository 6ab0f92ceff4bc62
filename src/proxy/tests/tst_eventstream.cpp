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

TEST_GROUP(event_sequences){};

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
    CHECK(s.take(text.substr(0, 9)).value().empty());
    CHECK(!s.at_boundary());
    CHECK(s.take(text.substr(9)).value() == text);
    CHECK(s.at_boundary());
}

TEST(event_sequences, resumed_attempt_repeats_nothing)
{
    proxy::event_sequence s(std::nullopt);
    CHECK(s.take(events(0, 3) + "id: 4\nda").has_value());
    s.begin_attempt();
    CHECK(s.take(events(2, 5)).value() == events(4, 5));
    CHECK(s.last() == 5);
    CHECK(s.count() == 6);
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
            out += s.take(rest.substr(0, middle)).value();
            out += s.take(rest.substr(middle)).value();
            s.begin_attempt();
        };
        for (const std::size_t cut : cuts) {
            attempt(cut);
        }
        out += s.take(events(s.last() ? *s.last() + 1 : 0, last)).value();
        RC_ASSERT(out == events(0, last));
    });
}
