#include "membership/presencetable.h"

#include "support/modelrun.h"
#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::membership;

namespace {

const core::host_id subject("s");
const core::incarnation subject_incarnation{7};

presence_report report_from(const std::string& observer, std::uint64_t sequence, presence state,
                            core::incarnation incarnation = subject_incarnation)
{
    return {core::host_id(observer), core::incarnation{1}, sequence, subject, incarnation, state};
}

} // namespace

TEST_GROUP(presences)
{
    presence_table table{core::host_id("self"), core::incarnation{1}};
};

TEST(presences, one_failed_connection_does_not_mark_a_process_down)
{
    CHECK(table.apply(report_from("a", 1, presence::up)));
    CHECK(table.apply(report_from("b", 1, presence::down)));
    CHECK(table.state_of(subject, subject_incarnation) == presence::up);
    CHECK(table.apply(report_from("a", 2, presence::down)));
    CHECK(table.state_of(subject, subject_incarnation) == presence::down);
}

TEST(presences, first_report_of_leaving_takes_effect)
{
    CHECK(table.apply(report_from("a", 1, presence::up)));
    CHECK(table.apply(report_from("b", 1, presence::leaving)));
    CHECK(table.state_of(subject, subject_incarnation) == presence::leaving);
    CHECK(table.state_of(subject, core::incarnation{8}) == presence::up);
}

TEST(presences, outdated_and_duplicate_reports_are_ignored)
{
    CHECK(table.apply(report_from("a", 2, presence::down)));
    CHECK(!table.apply(report_from("a", 2, presence::down)));
    CHECK(!table.apply(report_from("a", 1, presence::up)));
    CHECK(table.observe(subject, subject_incarnation, presence::up).has_value());
    CHECK(!table.observe(subject, subject_incarnation, presence::up).has_value());
}

TEST(presences, tables_agree_after_the_same_reports_in_any_order)
{
    CHECK_PROPERTY("order", [](const std::vector<std::uint16_t>& codes, std::uint64_t seed) {
        std::vector<presence_report> reports;
        std::map<std::string, std::uint64_t> sequence;
        for (const std::uint16_t code : codes) {
            const std::string observer(1, static_cast<char>('a' + code % 3));
            reports.push_back(
                report_from(observer, ++sequence[observer], static_cast<presence>(code / 3 % 3)));
        }
        presence_table first(core::host_id("self"), core::incarnation{1});
        for (const presence_report& report : reports) {
            first.apply(report);
        }
        std::mt19937_64 random(seed);
        std::shuffle(reports.begin(), reports.end(), random);
        presence_table second(core::host_id("self"), core::incarnation{1});
        for (const presence_report& report : reports) {
            second.apply(report);
        }
        RC_ASSERT(first.state_of(subject, subject_incarnation) ==
                  second.state_of(subject, subject_incarnation));
    });
}
