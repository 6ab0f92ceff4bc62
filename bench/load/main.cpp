#include "core/text.h"
#include "load/callerclient.h"
#include "load/loadconstants.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace currantpitch;
using load::request_outcome;

namespace {

struct load_options {
    std::string servers = "127.0.0.1:8101";
    std::string workspaces = "tutor";
    std::string call_workspace;
    std::string service = "enrolment";
    std::uint64_t requests = 1000;
    std::uint64_t connections = 32;
    std::uint64_t tokens = 16;
    std::uint64_t calls = 0;
    std::uint64_t seed = 1;
};

core::task<void> print_progress(const load::load_report& report, const std::size_t& running_callers)
{
    while (running_callers > 0) {
        co_await core::sleep_for(load::progress_interval);
        std::cerr << "progress " << report.progress() << " open_connections=" << running_callers
                  << "\n";
    }
}

core::task<void> run_caller(load::caller& c, bool calls, std::uint64_t count,
                            const load_options& options, std::string prefix,
                            std::size_t& running_callers)
{
    if (calls) {
        co_await c.call(count, options.service, std::move(prefix));
    }
    else {
        co_await c.generate(count, options.tokens);
    }
    --running_callers;
}

/// Starts the callers and divides the requests among them.
void start_callers(core::asio::io_context& context, const load_options& options,
                   load::address_book& addresses, load::load_report& report,
                   std::vector<std::unique_ptr<load::caller>>& callers,
                   std::size_t& running_callers)
{
    const std::vector<std::string> workspaces = core::split(options.workspaces, ',');
    const std::uint64_t caller_count = options.connections;
    for (std::uint64_t i = 0; i < caller_count; ++i) {
        const bool calls = options.calls > 0 && i % 4 == 3;
        const std::uint64_t callers_sharing =
            calls ? caller_count / 4 : caller_count - (options.calls > 0 ? caller_count / 4 : 0);
        const std::uint64_t index = calls ? i / 4 : i - (options.calls > 0 ? i / 4 : 0);
        const std::uint64_t total = calls ? options.calls : options.requests;
        const std::uint64_t count =
            total / callers_sharing + (index < total % callers_sharing ? 1 : 0);
        const std::string workspace =
            calls ? options.call_workspace : workspaces[index % workspaces.size()];
        callers.push_back(
            std::make_unique<load::caller>(addresses, report, workspace, options.seed * 1000 + i));
        ++running_callers;
        const std::string prefix = "key-" + std::to_string(options.seed) + "-" + std::to_string(i);
        core::spawn(context.get_executor(),
                    run_caller(*callers.back(), calls, count, options, prefix, running_callers));
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("currantpitch-load sends generations and keyed calls to a currantpitch "
                 "installation, checks every answer and prints latencies and outcomes.");
    load_options options;
    app.add_option("--server", options.servers, "ADDRESS:PORT of entries, separated by commas");
    app.add_option("--workspaces", options.workspaces,
                   "Workspaces of the generations, separated by commas");
    app.add_option("--requests", options.requests, "Total number of generations");
    app.add_option("--connections", options.connections, "Callers that run at the same time");
    app.add_option("--tokens", options.tokens, "Number of tokens of each answer");
    app.add_option("--calls", options.calls,
                   "Total number of keyed calls, made by a quarter of the callers");
    app.add_option("--call-workspace", options.call_workspace, "Workspace of the calls");
    app.add_option("--service", options.service, "Plain service of the calls");
    app.add_option("--seed", options.seed, "Seed for prompts and keys");
    app.footer("Exit codes: 0 when every request ended whole, not_run or unknown; 1 when an answer "
               "was cut off or wrong.");
    CLI11_PARSE(app, argc, argv);

    core::asio::io_context context{1};
    load::address_book addresses(core::split(options.servers, ','));
    load::load_report report;
    std::vector<std::unique_ptr<load::caller>> callers;
    std::size_t running_callers = 0;
    start_callers(context, options, addresses, report, callers, running_callers);
    core::spawn(context.get_executor(), print_progress(report, running_callers));
    context.run();
    std::cout << report.text();
    const std::uint64_t failures =
        report.count_of(request_outcome::cut_off) + report.count_of(request_outcome::wrong);
    return failures == 0 ? 0 : 1;
}
