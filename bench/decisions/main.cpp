#include "core/eventlog.h"
#include "decisions/balancebench.h"
#include "decisions/disseminationbench.h"
#include "decisions/entrysetsbench.h"
#include "decisions/fairnessbench.h"
#include "decisions/ledgerbench.h"
#include "decisions/limitsbench.h"
#include "decisions/planningbench.h"
#include "decisions/poptrace.h"
#include "decisions/recoverybench.h"
#include "decisions/routingbench.h"
#include "decisions/slopesbench.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace currantpitch;

namespace {

bench::report_format format_from(const std::string& text)
{
    if (text == "json") {
        return bench::report_format::json;
    }
    return text == "csv" ? bench::report_format::csv : bench::report_format::table;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("currantpitch-bench runs the product's decision code on seeded traces and "
                 "prints the results. Progress goes to the error output.");
    std::uint64_t seed = 1;
    std::string format = "table";
    app.add_option("--seed", seed, "First seed");
    app.add_option("-o,--output", format, "Output format")
        ->check(CLI::IsMember({"table", "json", "csv"}));
    app.require_subcommand(1);
    app.fallthrough();
    const auto add = [&app, &seed, &format](const char* name, const char* help, auto run) {
        app.add_subcommand(name, help)->callback([&seed, &format, run] {
            run(seed).print(std::cout, format_from(format));
        });
    };
    bench::balance_options balance;
    CLI::App* const balance_command =
        app.add_subcommand("balance", "Expert maps: policies compared on popularity traces");
    balance_command->add_option("--trace", balance.trace, "Trace")
        ->check(CLI::IsMember(bench::trace_names()));
    balance_command->add_option("--ranks", balance.ranks, "Ranks of the group");
    balance_command->add_option("--experts", balance.experts, "Experts of a layer");
    balance_command->add_option("--slots", balance.slots,
                                "Slots of a rank; 0 for two more than needed");
    balance_command->add_option("--weights", balance.weights, "Set of weights")
        ->check(CLI::IsMember({"mali-koderi", "kowalczyk"}));
    balance_command->add_option("--seeds", balance.seeds, "Number of seeds");
    balance_command->add_option("--replica-bytes", balance.replica_bytes,
                                "Size of a replica in bytes");
    balance_command->add_option("--plot", balance.plot,
                                "SVG file for a plot of the first seed's skew");
    balance_command->callback([&balance, &seed, &format] {
        bench::run_balance(balance, seed).print(std::cout, format_from(format));
    });
    add("routing",
        "Choice of endpoints, cost and quality, by policy and number of endpoints.\n"
        "busiest_to_mean_p50, _p95: load of the busiest endpoint over the mean; prefix_hits: "
        "fraction "
        "of\n"
        "the requests that found their prefix cached; choice_ns: time of one choice. The options\n"
        "--seed and -o of the program set the first seed and the format",
        bench::run_routing);
    add("entry-sets", "Choice of the entries of a workspace: moves, cost, failure domains",
        bench::run_entry_sets);
    add("fairness", "Shares under a flood and after the loss of a failure domain",
        bench::run_fairness);
    add("ledger", "Platform writes for each keyed call", bench::run_ledger);
    add("dissemination", "Time until a change is in force everywhere", bench::run_dissemination);
    add("limits", "Ways in which entries share the limit of an endpoint", bench::run_limits);
    add("planning",
        "Layouts of 63 ranks with 8 layers of 252 experts: skew, copies and time of a plan.\n"
        "skew: load of the busiest rank over the mean; host_ms: time on a host with 0.15 of a core",
        bench::run_planning);
    add("recovery",
        "Seconds without a step after the agent of the leader, or of the rank that holds the step\n"
        "of a switch, freezes for 4 s or is killed and back after 2 s, by phase of the switch,\n"
        "with and without direct calls to the engines of silent agents",
        bench::run_recovery);
    add("slopes", "Memory and time of each kind of state by number of items", bench::run_slopes);
    core::silence_log();
    CLI11_PARSE(app, argc, argv);
    return 0;
}
