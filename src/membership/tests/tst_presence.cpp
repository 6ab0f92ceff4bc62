#include "membership/presencetable.h"

#include "support/modelrun.h"
#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::membership;

namespace {

const core::host_id subject("s");
const core::incarnation life{7};

presence_report note_of(const std::string& observer, std::uint64_t sequence, presence state,
                        core::incarnation of = life)
{
    return {core::host_id(observer), core::incarnation{1}, sequence, subject, of, state};
}

} // namespace

TEST_GROUP(presences)
{
    presence_table table{core::host_id("self"), core::incarnation{1}};
};

TEST(presences, one_broken_link_does_not_make_a_process_down)
{
    CHECK(table.take(note_of("a", 1, presence::up)));
    CHECK(table.take(note_of("b", 1, presence::down)));
    CHECK(table.state_of(subject, life) == presence::up);
    CHECK(table.take(note_of("a", 2, presence::down)));
    CHECK(table.state_of(subject, life) == presence::down);
}

TEST(presences, first_word_of_leaving_counts)
{
    CHECK(table.take(note_of("a", 1, presence::up)));
    CHECK(table.take(note_of("b", 1, presence::leaving)));
    CHECK(table.state_of(subject, life) == presence::leaving);
    CHECK(table.state_of(subject, core::incarnation{8}) == presence::up);
}

TEST(presences, old_and_repeated_notes_are_no_news)
{
    CHECK(table.take(note_of("a", 2, presence::down)));
    CHECK(!table.take(note_of("a", 2, presence::down)));
    CHECK(!table.take(note_of("a", 1, presence::up)));
    CHECK(table.observe(subject, life, presence::up).has_value());
    CHECK(!table.observe(subject, life, presence::up).has_value());
}

TEST(presences, tables_that_took_the_same_notes_agree_whatever_the_order)
{
    CHECK_PROPERTY("order", [](const std::vector<std::uint16_t>& words, std::uint64_t seed) {
        std::vector<presence_report> notes;
        std::map<std::string, std::uint64_t> sequence;
        for (const std::uint16_t word : words) {
            const std::string observer(1, static_cast<char>('a' + word % 3));
            notes.push_back(
                note_of(observer, ++sequence[observer], static_cast<presence>(word / 3 % 3)));
        }
        presence_table first(core::host_id("self"), core::incarnation{1});
        for (const presence_report& n : notes) {
            first.take(n);
        }
        std::mt19937_64 random(seed);
        std::shuffle(notes.begin(), notes.end(), random);
        presence_table second(core::host_id("self"), core::incarnation{1});
        for (const presence_report& n : notes) {
            second.take(n);
        }
        RC_ASSERT(first.state_of(subject, life) == second.state_of(subject, life));
    });
}
