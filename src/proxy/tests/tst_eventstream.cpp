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
    /// Appends the bytes and returns the events that are to be sent.
    static std::string append_and_send(proxy::event_sequence & s,
                                       std::string_view bytes){CHECK(s.append(bytes).has_value());
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

TEST(event_sequences, only_complete_events_are_sent)
{
    proxy::event_sequence s(std::nullopt);
    const std::string text = event(0);
    CHECK(append_and_send(s, text.substr(0, 9)).empty());
    CHECK(!s.at_boundary());
    CHECK(append_and_send(s, text.substr(9)) == text);
    CHECK(s.at_boundary());
}

TEST(event_sequences, resumed_attempt_sends_no_event_twice)
{
    proxy::event_sequence s(std::nullopt);
    CHECK(append_and_send(s, events(0, 3) + "id: 4\nda") == events(0, 3));
    s.begin_attempt();
    CHECK(append_and_send(s, events(2, 5)) == events(4, 5));
    CHECK(s.last_id() == 5);
    CHECK(s.new_event_count() == 6);
}

TEST(event_sequences, events_unsent_at_the_end_of_an_attempt_are_kept)
{
    proxy::event_sequence s(std::nullopt);
    CHECK(s.append(events(0, 3)).has_value());
    s.begin_attempt();
    CHECK(append_and_send(s, events(4, 5)) == events(0, 5));
}

TEST(event_sequences, events_before_a_gap_are_kept)
{
    proxy::event_sequence s(std::nullopt);
    CHECK(!s.append(events(0, 3) + event(5)).has_value());
    CHECK(s.last_id() == 3);
    s.begin_attempt();
    CHECK(append_and_send(s, events(4, 5)) == events(0, 5));
}

TEST(event_sequences, gap_is_an_error)
{
    proxy::event_sequence s(std::nullopt);
    CHECK(s.append(events(0, 3)).has_value());
    CHECK(!s.append(event(5)).has_value());
    proxy::event_sequence resumed(std::uint64_t{7});
    CHECK(!resumed.append(event(9)).has_value());
}

TEST(event_sequences, event_without_an_id_is_an_error)
{
    proxy::event_sequence s(std::nullopt);
    CHECK(!s.append("data: x\n\n").has_value());
}

TEST(event_sequences, streams_cut_anywhere_deliver_every_event_once)
{
    CHECK_PROPERTY("attempts that break anywhere deliver every event once", [] {
        const std::uint64_t last = *rc::gen::inRange<std::uint64_t>(1, 20);
        proxy::event_sequence s(std::nullopt);
        std::string out;
        const std::vector<std::size_t> cuts = *rc::gen::arbitrary<std::vector<std::size_t>>();
        const auto attempt = [&](std::size_t cut) {
            std::string rest = events(s.last_id() ? *s.last_id() + 1 : 0, last);
            rest.resize(cut % (rest.size() + 1));
            const std::size_t middle = rest.size() / 2;
            out += append_and_send(s, rest.substr(0, middle));
            out += append_and_send(s, rest.substr(middle));
            s.begin_attempt();
        };
        for (const std::size_t cut : cuts) {
            attempt(cut);
        }
        out += append_and_send(s, events(s.last_id() ? *s.last_id() + 1 : 0, last));
        RC_ASSERT(out == events(0, last));
    });
}
