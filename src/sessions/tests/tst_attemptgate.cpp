#include "sessions/attemptgate.h"
#include "sessions/attempttracker.h"
#include "sessions/sessionsconstants.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::sessions;
using core::attempt_number;
using core::epoch;
using core::errc;
using core::incarnation;

TEST_GROUP(gate)
{
    attempt_gate tested{incarnation{100}};
    core::time_point now{std::chrono::hours(1)};
    incarnation entry{1};

    core::result<std::vector<attempt_report>> open(std::uint64_t e, std::uint64_t settled = 1)
    {
        return tested.open(hello{core::host_id("e"), entry, epoch{e}, attempt_number{settled}},
                           now);
    }
    resolution query(std::uint64_t e, std::uint64_t number, std::uint64_t agent = 100)
    {
        const attempt_identity id{entry, incarnation{agent}, epoch{e}, attempt_number{number}};
        return tested.resolve_attempt(resolve{1, id}, now);
    }
};

TEST(gate, lower_or_equal_epoch_is_refused)
{
    CHECK(open(5).has_value());
    CHECK(open(5).error().code == errc::stale);
    CHECK(open(4).error().code == errc::stale);
    CHECK(open(6).has_value());
}

TEST(gate, start_under_a_fenced_epoch_is_refused)
{
    CHECK(open(1).has_value());
    CHECK(open(2).has_value());
    CHECK(tested.start(entry, epoch{1}, attempt_number{1}).error().code == errc::stale);
    CHECK(tested.start(entry, epoch{3}, attempt_number{1}).error().code == errc::stale);
    CHECK(tested.start(incarnation{9}, epoch{1}, attempt_number{1}).error().code == errc::stale);
}

TEST(gate, number_starts_once)
{
    CHECK(open(1).has_value());
    CHECK(tested.start(entry, epoch{1}, attempt_number{2}).has_value());
    CHECK(tested.start(entry, epoch{1}, attempt_number{2}).error().code == errc::conflict);
    CHECK(tested.start(entry, epoch{1}, attempt_number{1}).has_value());
    tested.settle(entry, entry_heartbeat{attempt_number{3}, {}}, now);
    CHECK(tested.start(entry, epoch{1}, attempt_number{2}).error().code == errc::conflict);
    LONGS_EQUAL(0, tested.retained_attempts());
}

TEST(gate, resolved_attempt_never_starts)
{
    CHECK(open(1).has_value());
    CHECK(query(1, 7).status == attempt_status::never_started);
    CHECK(tested.start(entry, epoch{1}, attempt_number{7}).error().code == errc::refused);
    CHECK(query(3, 9).status == attempt_status::never_started);
    CHECK(open(3).error().code == errc::stale);
    CHECK(open(4).has_value());
}

TEST(gate, attempt_of_another_agent_incarnation_is_not_known)
{
    CHECK(query(1, 1, 99).status == attempt_status::not_known);
}

TEST(gate, settled_attempt_is_not_reported_as_never_started)
{
    CHECK(open(1).has_value());
    CHECK(tested.start(entry, epoch{1}, attempt_number{1}).has_value());
    tested.settle(entry, entry_heartbeat{attempt_number{1}, {attempt_number{1}}}, now);
    CHECK(query(1, 1).status == attempt_status::not_known);
    tested.settle(entry, entry_heartbeat{attempt_number{2}, {}}, now);
    CHECK(query(1, 1).status == attempt_status::not_known);
}

TEST(gate, dropped_incarnation_must_have_settled_its_attempts_to_reconnect)
{
    CHECK(open(1).has_value());
    CHECK(tested.start(entry, epoch{1}, attempt_number{4}).has_value());
    now += incarnation_retention;
    tested.expire(now);
    LONGS_EQUAL(0, tested.retained_attempts());
    CHECK(query(1, 4).status == attempt_status::not_known);
    CHECK(open(2, 4).error().code == errc::stale);
    CHECK(open(2, 5).has_value());
}

TEST(gate, late_hello_of_a_dropped_incarnation_does_not_undo_a_resolution)
{
    CHECK(open(1).has_value());
    CHECK(query(1, 1).status == attempt_status::never_started);
    now += incarnation_retention;
    tested.expire(now);
    CHECK(open(1).error().code == errc::stale);
    CHECK(tested.start(entry, epoch{1}, attempt_number{1}).has_error());
}

TEST(gate, long_reply_is_not_kept)
{
    CHECK(open(1).has_value());
    CHECK(tested.start(entry, epoch{1}, attempt_number{1}).has_value());
    work_end result;
    result.number = attempt_number{1};
    result.state = end_state::finished;
    result.body = std::string(max_kept_reply_bytes + 1, 'x');
    tested.end(entry, result);
    CHECK(open(2).value().at(0).end->body.empty());
}

TEST_GROUP(book){};

TEST(book, only_an_attempt_absent_from_the_list_is_concluded_as_never_started)
{
    attempt_tracker tested;
    tested.begin_session();
    tested.on_ack(hello_ack{core::host_id("a"), incarnation{1}, false, {}});
    const attempt_number absent = tested.next_attempt();
    const attempt_number present = tested.next_attempt();
    tested.begin_session();
    std::vector<attempt_conclusion> conclusions = tested.on_ack(
        hello_ack{core::host_id("a"), incarnation{1}, false, {{present, std::nullopt}}});
    LONGS_EQUAL(2, conclusions.size());
    CHECK(conclusions[0].number == absent);
    CHECK(conclusions[0].kind == conclusion_kind::never_started);
    CHECK(conclusions[1].kind == conclusion_kind::fenced);
}

TEST(book, attempts_are_lost_with_a_new_agent_incarnation)
{
    attempt_tracker tested;
    tested.begin_session();
    tested.on_ack(hello_ack{core::host_id("a"), incarnation{1}, false, {}});
    tested.next_attempt();
    tested.begin_session();
    const std::vector<attempt_conclusion> conclusions =
        tested.on_ack(hello_ack{core::host_id("a"), incarnation{2}, false, {}});
    CHECK(conclusions.at(0).kind == conclusion_kind::lost);
}

TEST(book, settled_numbers_are_reported_once_and_raise_the_lower_bound)
{
    attempt_tracker tested;
    tested.begin_session();
    const attempt_number first = tested.next_attempt();
    const attempt_number second = tested.next_attempt();
    tested.settle(second);
    CHECK(tested.settled_below() == first);
    CHECK(tested.take_settled() == std::vector<attempt_number>({second}));
    CHECK(tested.take_settled().empty());
    tested.settle(first);
    CHECK(tested.settled_below() == second.next());
}
