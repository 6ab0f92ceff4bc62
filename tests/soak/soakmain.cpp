#include "soak/faultinjector.h"

#include "core/timer.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>

using namespace currantpitch;
using namespace currantpitch::soak;

namespace {

enum exit_code { exit_held = 0, exit_broken = 1 };

struct run_options {
    site_options site;
    std::chrono::seconds faults{30};
    bool list = false;
};

/// Plays one run; what it found is appended to the findings.
core::task<void> play(core::asio::io_context& context, soak_site& site, judge& verdicts,
                      const run_options& options, std::vector<std::string>& findings)
{
    site.start();
    co_await core::sleep_for(start_time);
    site.start_callers();
    fault_injector injector(site);
    co_await injector.run(make_script(options.site.seed, options.faults));
    co_await core::sleep_for(bounds{}.recovery);
    const core::time_point recovered = core::runtime_clock::now();
    const core::step_number step = site.group().step();
    co_await core::sleep_for(last_calm);
    const bool group_moves = site.group().step() > step;
    findings = co_await site.stop();
    findings.insert(findings.end(), injector.findings().begin(), injector.findings().end());
    verdicts.finish();
    findings.insert(findings.end(), verdicts.findings().begin(), verdicts.findings().end());
    const double served = verdicts.served_since(recovered);
    if (served < bounds{}.served_after) {
        findings.push_back("recovery served=" + std::to_string(served));
    }
    if (!group_moves) {
        findings.push_back("group-stands step=" + std::to_string(step.value));
    }
    if (!site.group().violation().empty()) {
        findings.push_back("two-layouts " + site.group().violation());
    }
    std::cout << "soak: seed=" << options.site.seed << " sent=" << verdicts.sent()
              << " served=" << verdicts.served() << " refused=" << verdicts.refused()
              << " failed=" << verdicts.failed()
              << " judged_in_touch=" << verdicts.judged_in_touch()
              << " switches=" << site.group().switches() << " served_after=" << served
              << " findings=" << findings.size() << "\n";
    context.stop();
}

void list_script(const run_options& options)
{
    for (const planned_fault& f : make_script(options.site.seed, options.faults)) {
        std::cout << f.at.count() << "ms " << to_string(f.kind) << " target=" << f.target
                  << " lasts=" << f.lasts.count() << "ms\n";
    }
}

int run(run_options options)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::filesystem::create_directories(options.site.folder);
    core::asio::io_context context{1};
    judge verdicts{bounds{}};
    soak_site site(context.get_executor(), options.site, verdicts);
    std::vector<std::string> findings;
    core::spawn(context.get_executor(), play(context, site, verdicts, options, findings));
    context.run();
    for (const std::string& f : findings) {
        std::cout << "finding: " << f << "\n";
    }
    if (findings.empty()) {
        std::filesystem::remove_all(options.site.folder);
        return exit_held;
    }
    std::cout << "logs: " << options.site.folder << "\n";
    return exit_broken;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app(
        "currantpitch-soak runs gateways and rank agents as processes on loopback, injects "
        "faults from outside them, and checks what callers and endpoints see.");
    run_options options;
    unsigned seconds = 30;
    app.add_option("--program", options.site.program, "currantpitch-node to run")->required();
    app.add_option("--folder", options.site.folder, "Folder for settings and logs")->required();
    app.add_option("--seed", options.site.seed, "Seed of the faults and of the callers");
    app.add_option("--seconds", seconds, "Length of the faults");
    app.add_option("--gateways", options.site.gateways, "Gateways");
    app.add_option("--ranks", options.site.ranks, "Ranks of the group, each with its agent");
    app.add_option("--callers", options.site.callers, "Callers");
    app.add_flag("--list", options.list, "Only print the seed's faults");
    app.footer(
        "Exit codes: 0 when every promise held, 1 when one was broken; the findings name it.");
    CLI11_PARSE(app, argc, argv);
    options.faults = std::chrono::seconds(seconds);
    if (options.list) {
        list_script(options);
        return exit_held;
    }
    return run(options);
}
