#include "agent/agentnode.h"
#include "core/eventlog.h"
#include "core/runnode.h"
#include "endpoints/httpservice.h"
#include "entry/entrynode.h"
#include "settings/daemonsettings.h"
#include "settings/settingswatch.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <iostream>
#include <random>

using namespace currantpitch;

namespace {

enum exit_code { exit_ok = 0, exit_failed = 1, exit_invalid_settings = 2 };

/// Runs a node until SIGTERM or SIGINT, then performs its planned stop.
template <class Node>
int run_node(const settings::daemon_settings& settings, const std::string& path)
{
    core::asio::io_context context{1};
    std::random_device entropy;
    const std::uint64_t seed = (static_cast<std::uint64_t>(entropy()) << 32 | entropy()) | 1;
    Node node(context.get_executor(), settings, seed);
    settings::settings_watch watch(
        path, settings::read_settings, [](const settings::daemon_settings&) {
            core::log_event("reload").field("applied", "at the next start");
        });
    core::spawn(context.get_executor(), watch.run());
    return core::run_node(context, node, [&watch] { watch.reload(); }) ? exit_ok : exit_failed;
}

int run(const settings::daemon_settings& settings, const std::string& path)
{
    if (settings.role == settings::process_role::entry) {
        return run_node<entry::entry_node>(settings, path);
    }
    if (settings.endpoint == settings::endpoint_type::engine) {
        return run_node<agent::agent_node<endpoints::http_engine>>(settings, path);
    }
    return run_node<agent::agent_node<endpoints::http_service>>(settings, path);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app(
        "currantpitchd runs one process of the currantpitch load balancer: an entry, which "
        "callers and operators connect to, or an agent, which runs in front of an endpoint.");
    std::string settings_file;
    std::string check_file;
    app.add_option("--settings", settings_file, "YAML file with the settings of this process");
    app.add_option("--check-settings", check_file,
                   "Check a settings file, print the findings as file:line:column and exit");
    app.require_option(1);
    app.footer("Exit codes: 0 after a planned stop, 1 when the process cannot start, 2 for invalid "
               "settings.\nSIGTERM and SIGINT begin a planned stop.");
    CLI11_PARSE(app, argc, argv);

    const std::string& path = check_file.empty() ? settings_file : check_file;
    const settings::settings_report report = settings::load_settings(path);
    if (!report.settings) {
        std::cerr << core::to_text(report.problems);
        return exit_invalid_settings;
    }
    if (!check_file.empty()) {
        std::cout << (report.adjustments.empty() ? path + ": no findings\n"
                                                 : core::to_text(report.adjustments));
        return report.adjustments.empty() ? exit_ok : exit_invalid_settings;
    }
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    settings::log_adjustments(report.adjustments);
    return run(*report.settings, path);
}
