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

core::task<void> print_progress(const load::load_report& report, const std::size_t& open)
{
    while (open > 0) {
        co_await core::sleep_for(load::progress_interval);
        std::cerr << "progress " << report.progress() << " open_connections=" << open << "\n";
    }
}

core::task<void> run_caller(load::caller& c, bool calls, std::uint64_t count,
                            const load_options& options, std::string prefix, std::size_t& open)
{
    if (calls) {
        co_await c.call(count, options.service, std::move(prefix));
    }
    else {
        co_await c.generate(count, options.tokens);
    }
    --open;
}

/// Starts the callers, each with its part of the requests.
void start(core::asio::io_context& context, const load_options& options,
           load::address_book& addresses, load::load_report& report,
           std::vector<std::unique_ptr<load::caller>>& callers, std::size_t& open)
{
    const std::vector<std::string> workspaces = core::split(options.workspaces, ',');
    const std::uint64_t lines = options.connections;
    for (std::uint64_t i = 0; i < lines; ++i) {
        const bool calls = options.calls > 0 && i % 4 == 3;
        const std::uint64_t sharing =
            calls ? lines / 4 : lines - (options.calls > 0 ? lines / 4 : 0);
        const std::uint64_t place = calls ? i / 4 : i - (options.calls > 0 ? i / 4 : 0);
        const std::uint64_t total = calls ? options.calls : options.requests;
        const std::uint64_t count = total / sharing + (place < total % sharing ? 1 : 0);
        const std::string workspace =
            calls ? options.call_workspace : workspaces[place % workspaces.size()];
        callers.push_back(
            std::make_unique<load::caller>(addresses, report, workspace, options.seed * 1000 + i));
        ++open;
        const std::string prefix = "key-" + std::to_string(options.seed) + "-" + std::to_string(i);
        core::spawn(context.get_executor(),
                    run_caller(*callers.back(), calls, count, options, prefix, open));
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("currantpitch-load sends generations and keyed calls to a currantpitch "
                 "installation, checks every answer and prints latencies and outcomes.");
    load_options options;
    app.add_option("--server", options.servers, "ADDRESS:PORT of entries, with commas");
    app.add_option("--workspaces", options.workspaces, "Workspaces of the generations");
    app.add_option("--requests", options.requests, "Generations in all");
    app.add_option("--connections", options.connections, "Callers at the same time");
    app.add_option("--tokens", options.tokens, "Tokens of each answer");
    app.add_option("--calls", options.calls, "Keyed calls in all, by a quarter of the callers");
    app.add_option("--call-workspace", options.call_workspace, "Workspace of the calls");
    app.add_option("--service", options.service, "Plain service of the calls");
    app.add_option("--seed", options.seed, "Seed of prompts and keys");
    app.footer("Exit codes: 0 when every request ended whole, not_run or unknown; 1 when an answer "
               "was cut off or wrong.");
    CLI11_PARSE(app, argc, argv);

    core::asio::io_context context{1};
    load::address_book addresses(core::split(options.servers, ','));
    load::load_report report;
    std::vector<std::unique_ptr<load::caller>> callers;
    std::size_t open = 0;
    start(context, options, addresses, report, callers, open);
    core::spawn(context.get_executor(), print_progress(report, open));
    context.run();
    std::cout << report.text();
    const std::uint64_t bad =
        report.of(request_outcome::cut_off) + report.of(request_outcome::wrong);
    return bad == 0 ? 0 : 1;
}
