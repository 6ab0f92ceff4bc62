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

enum exit_code { exit_ok = 0, exit_violation = 1 };

struct run_options {
    site_options site;
    std::chrono::seconds faults{30};
    bool list = false;
};

/// Runs the complete soak test and stores its findings in @a findings.
core::task<void> run_soak(core::asio::io_context& context, soak_site& site,
                          guarantee_checker& checker, const run_options& options,
                          std::vector<std::string>& findings)
{
    site.start();
    co_await core::sleep_for(startup_time);
    site.start_callers();
    fault_injector injector(site);
    if (options.site.uneven_endpoints) {
        core::spawn(context.get_executor(), injector.vary_endpoint_speeds(options.faults));
    }
    co_await injector.run(make_fault_script(options.site.seed, options.faults));
    site.environment().crashing_part.clear();
    site.environment().crashing_target_end.clear();
    site.evacuations().stop();
    co_await core::sleep_for(guarantee_limits{}.recovery);
    const core::time_point recovered = core::runtime_clock::now();
    const core::step_number step = site.group().step();
    co_await core::sleep_for(final_fault_free_time);
    const bool group_progressed = site.group().step() > step;
    findings = co_await site.stop();
    findings.insert(findings.end(), injector.findings().begin(), injector.findings().end());
    checker.finish();
    findings.insert(findings.end(), checker.findings().begin(), checker.findings().end());
    const double served = checker.success_ratio_since(recovered);
    if (served < guarantee_limits{}.min_served_ratio) {
        findings.push_back("recovery served=" + std::to_string(served));
    }
    if (!group_progressed) {
        findings.push_back("group-stands step=" + std::to_string(step.value));
    }
    if (!site.group().violation().empty()) {
        findings.push_back("two-layouts " + site.group().violation());
    }
    std::cout << "soak: seed=" << options.site.seed << " sent=" << checker.sent()
              << " served=" << checker.served() << " refused=" << checker.refused()
              << " failed=" << checker.failed()
              << " judged_in_touch=" << checker.undisturbed_calls()
              << " part_crashes=" << checker.part_crashes()
              << " request_crashes=" << checker.request_crashes()
              << " late_crashing_requests=" << checker.late_crashing_requests()
              << " evacuations=" << checker.evacuations().evacuations()
              << " judged_in_evacuations=" << checker.judged_in_evacuations()
              << " cold_requests=" << checker.cold_requests()
              << " most_cold_in_second=" << checker.most_cold_requests()
              << " sound_suspected=" << checker.sound_suspected()
              << " peak_gateway_bytes=" << injector.peak_gateway_memory_bytes()
              << " switches=" << site.group().switches() << " served_after=" << served
              << " findings=" << findings.size() << "\n";
    context.stop();
}

void list_script(const run_options& options)
{
    for (const planned_fault& f : make_fault_script(options.site.seed, options.faults)) {
        std::cout << f.at.count() << "ms " << to_string(f.kind) << " target=" << f.target
                  << " lasts=" << f.duration.count() << "ms\n";
    }
}

int run(run_options options)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::filesystem::create_directories(options.site.folder);
    core::asio::io_context context{1};
    guarantee_checker checker{guarantee_limits{}};
    soak_site site(context.get_executor(), options.site, checker);
    std::vector<std::string> findings;
    core::spawn(context.get_executor(), run_soak(context, site, checker, options, findings));
    context.run();
    for (const std::string& f : findings) {
        std::cout << "finding: " << f << "\n";
    }
    if (findings.empty()) {
        std::filesystem::remove_all(options.site.folder);
        return exit_ok;
    }
    std::cout << "logs: " << options.site.folder << "\n";
    return exit_violation;
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
    app.add_option("--seconds", seconds, "Seconds during which faults are injected");
    app.add_option("--gateways", options.site.gateways, "Number of gateways");
    app.add_option("--ranks", options.site.ranks,
                   "Number of ranks of the group, each with its agent");
    app.add_option("--callers", options.site.callers, "Number of callers");
    app.add_flag("--crashing-part", options.site.crashing_part,
                 "Let a part of some prompts crash the ranks that begin to answer it");
    app.add_flag("--crashing-request", options.site.crashing_request,
                 "Let one request on each route crash the endpoints that run it");
    app.add_flag("--uneven-endpoints", options.site.uneven_endpoints,
                 "Let plain endpoints be slow and fast by turns");
    app.add_flag("--evacuation", options.site.evacuation,
                 "Let the operator evacuate one failure domain after the other");
    app.add_flag("--cold-endpoints", options.site.cold_endpoints,
                 "Let endpoints be cold when they come back, and restart some again and again");
    app.add_flag("--list", options.list, "Only print the faults of the seed");
    app.footer(
        "Exit codes: 0 if every guarantee held, 1 if one was violated; the findings name it.");
    CLI11_PARSE(app, argc, argv);
    options.faults = std::chrono::seconds(seconds);
    if (options.list) {
        list_script(options);
        return exit_ok;
    }
    return run(options);
}
