#include "proxy/partguard.h"

#include "core/eventlog.h"
#include "wire/packer.h"
#include "wire/unpacker.h"

#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

using part_ids = std::vector<core::prompt_part_id>;
const core::service_id tutor("tutor");

part_ids parts(const std::vector<std::string>& names)
{
    part_ids ids;
    for (const std::string& name : names) {
        ids.emplace_back(name);
    }
    return ids;
}

} // namespace

// The guards of several entries, whose reports arrive at once.
TEST_GROUP(part_guards)
{
    testing::paused_run run;
    std::vector<std::unique_ptr<proxy::part_guard>> guards;
    int reports = 0;

    void setup() override
    {
        core::silence_log();
        for (std::size_t i = 0; i < 3; ++i) {
            guards.push_back(std::make_unique<proxy::part_guard>(
                tutor, [this, i](const admission::part_report& r) { deliver(i, r); }));
        }
    }
    void deliver(std::size_t from, const admission::part_report& report)
    {
        for (std::size_t to = 0; to < guards.size(); ++to) {
            if (to != from) {
                deliver(from, to, report);
            }
        }
    }
    void deliver(std::size_t from, std::size_t to, const admission::part_report& report)
    {
        CHECK(++reports < 1000);
        const core::result<admission::part_report> received =
            wire::decode<admission::part_report>(wire::encode(report));
        const std::optional<admission::part_report> answer =
            guards[to]->on_report(received.value());
        if (answer && answer->is_reply) {
            deliver(to, from, *answer);
        }
        else if (answer) {
            deliver(to, *answer);
        }
    }
    void crash(std::size_t entry, const std::vector<std::string>& names, std::uint64_t incarnation)
    {
        admission::part_crash c;
        c.parts = parts(names);
        c.endpoint = core::endpoint_id("e");
        c.endpoint_incarnation = core::incarnation{incarnation};
        c.answer_begun = true;
        c.at = core::runtime_clock::now();
        guards[entry]->on_crash(c);
    }
};

TEST(part_guards, crash_at_one_entry_is_known_at_all)
{
    crash(0, {"bad"}, 1);
    for (const std::unique_ptr<proxy::part_guard>& guard : guards) {
        CHECK(guard->refuses(parts({"bad", "x"})));
        CHECK(guard->retry_after(parts({"bad"})) == 30s);
        CHECK(!guard->admit("id", parts({"bad"})));
    }
}

TEST(part_guards, progress_that_only_another_entry_has_seen_speaks_for_a_part_everywhere)
{
    guards[2]->on_progress(parts({"first"}));
    run.advance(1s);
    crash(0, {"first"}, 1);
    for (const std::unique_ptr<proxy::part_guard>& guard : guards) {
        CHECK(!guard->refuses(parts({"first"})));
    }
    crash(0, {"first", "bad"}, 2);
    for (const std::unique_ptr<proxy::part_guard>& guard : guards) {
        CHECK(!guard->refuses(parts({"first"})));
        CHECK(guard->refuses(parts({"bad"})));
    }
}

TEST(part_guards, progress_after_a_crash_clears_a_part_everywhere)
{
    crash(0, {"first", "bad"}, 1);
    run.advance(1s);
    CHECK(guards[1]->admit("id", parts({"first"})));
    guards[1]->on_progress(parts({"first"}));
    for (const std::unique_ptr<proxy::part_guard>& guard : guards) {
        CHECK(guard->refuses(parts({"second", "bad"})));
        CHECK(!guard->refuses(parts({"first"})));
    }
}

TEST(part_guards, only_one_entry_probes_a_suspected_part)
{
    crash(0, {"bad"}, 1);
    run.advance(30s);
    CHECK(guards[1]->admit("id", parts({"bad"})));
    CHECK(!guards[0]->admit("id", parts({"bad"})));
    CHECK(!guards[2]->admit("id", parts({"bad"})));
    crash(1, {"bad"}, 2);
    CHECK(guards[0]->retry_after(parts({"bad"})) == 300s);
}

TEST(part_guards, entry_that_starts_later_learns_what_its_peers_know)
{
    guards[1]->on_progress(parts({"first"}));
    run.advance(1s);
    crash(0, {"first", "bad"}, 1);
    run.advance(2s);
    proxy::part_guard started(tutor, [](const admission::part_report&) {});
    CHECK(!started.snapshot().has_value());
    started.on_report(guards[2]->snapshot().value());
    CHECK(started.refuses(parts({"bad"})));
    CHECK(!started.refuses(parts({"first"})));
    CHECK(started.retry_after(parts({"bad"})) == 28s);
}

// A suspicion must not outlive the progress that only the peers of a cut-off entry have seen.
TEST(part_guards, entry_that_was_cut_off_learns_of_progress_after_its_crashes)
{
    proxy::part_guard cut_off(tutor, [](const admission::part_report&) {});
    cut_off.on_progress(parts({"first"}));
    admission::part_crash crashed;
    crashed.parts = parts({"first"});
    crashed.answer_begun = true;
    for (std::uint64_t n = 1; n <= 2; ++n) {
        run.advance(1s);
        crashed.endpoint_incarnation = core::incarnation{n};
        crashed.at = core::runtime_clock::now();
        cut_off.on_crash(crashed);
    }
    CHECK(cut_off.refuses(parts({"first"})));
    run.advance(1s);
    guards[1]->on_progress(parts({"first"}));
    const std::optional<admission::part_report> answer =
        guards[1]->on_report(cut_off.snapshot().value());
    CHECK(answer.has_value());
    cut_off.on_report(*answer);
    CHECK(!cut_off.refuses(parts({"first"})));
}
