#include "decisions/ledgerbench.h"

#include "actions/ledgerowner.h"
#include "fakes/memorystore.h"

#include <deque>
#include <iostream>

namespace currantpitch::bench {

namespace {

using namespace std::chrono_literals;
using owner_type = actions::ledger_owner<fakes::memory_store>;

constexpr std::chrono::milliseconds store_delay = 5ms;
constexpr std::chrono::milliseconds action_duration = 300ms;
constexpr std::chrono::seconds run_duration = 8s;

struct ledger_run {
    core::asio::io_context context{1};
    fakes::memory_store store{context.get_executor()};
    owner_type owner;
    std::vector<double> claim_ms;

    explicit ledger_run(std::uint64_t seed) : owner(store, context.get_executor(), 0, seed) {}

    void advance(core::duration d)
    {
        core::advance(d, [this] {
            context.restart();
            context.poll();
        });
    }
    void start(actions::ledger_operation operation, bool timed)
    {
        core::spawn(context.get_executor(),
                    [](ledger_run& run, actions::ledger_operation o, bool t) -> core::task<void> {
                        const core::time_point started_at = core::runtime_clock::now();
                        const core::result<actions::ledger_answer> answer =
                            co_await run.owner.execute(std::move(o), started_at + 30s);
                        if (t && answer) {
                            run.claim_ms.push_back(std::chrono::duration<double, std::milli>(
                                                       core::runtime_clock::now() - started_at)
                                                       .count());
                        }
                    }(*this, std::move(operation), timed));
    }
};

void add_rate(bench_report& report, int rate, std::uint64_t seed)
{
    core::runtime_clock::pause();
    {
        ledger_run run(seed);
        run.store.faults.delay = store_delay;
        const core::duration action_interval =
            std::chrono::duration_cast<core::duration>(1s) / rate;
        const int action_count = rate * static_cast<int>(run_duration.count());
        std::deque<std::pair<core::time_point, actions::claim_operation>> pending_finishes;
        for (int i = 0; i < action_count; ++i) {
            actions::claim_operation claim;
            claim.id = actions::action_id("action-" + std::to_string(i) + "-0123456789abcdef");
            claim.fingerprint = actions::action_fingerprint("0123456789abcdef0123456789abcdef");
            claim.issued_at = core::runtime_clock::wall_now();
            claim.attempt.number = core::attempt_number{static_cast<std::uint64_t>(i)};
            claim.agent = core::host_id("agent-1");
            run.start(claim, true);
            pending_finishes.emplace_back(core::runtime_clock::now() + action_duration, claim);
            run.advance(action_interval);
            while (!pending_finishes.empty() &&
                   pending_finishes.front().first <= core::runtime_clock::now()) {
                const actions::claim_operation& done = pending_finishes.front().second;
                run.start(actions::finish_operation{done.id, done.attempt, 200, "text/plain",
                                                    "booked", true},
                          false);
                pending_finishes.pop_front();
            }
        }
        run.advance(5s);
        const double writes = static_cast<double>(run.store.calls["ledger_write"]);
        report.add({std::to_string(rate), std::to_string(action_count),
                    format_number(writes / action_count, 4),
                    format_number(writes / static_cast<double>(run_duration.count()), 1),
                    format_number(percentile(run.claim_ms, 0.5), 1),
                    format_number(percentile(run.claim_ms, 0.99), 1)});
    }
    core::runtime_clock::resume();
}

} // namespace

bench_report run_ledger(std::uint64_t seed)
{
    bench_report report({"actions_per_second", "actions", "writes_per_action", "writes_per_second",
                         "claim_ms_p50", "claim_ms_p99"});
    for (const int rate : {1, 10, 50, 100, 200}) {
        std::cerr << "progress rate=" << rate << "\n";
        add_rate(report, rate, seed);
    }
    return report;
}

} // namespace currantpitch::bench
