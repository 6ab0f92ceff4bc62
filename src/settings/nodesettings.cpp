#include "settings/nodesettings.h"

#include "settings/internal/yamlreader.h"
#include "settings/settingsfile.h"

namespace currantpitch::settings {

namespace {

constexpr double max_retry_ratio = 10;
constexpr double max_retry_slack = 1e6;
constexpr double max_cold_overshoot = 100;
constexpr double max_cold_tolerance = 1e6;
constexpr double max_memory_mib = 1e7;

void read_gateway(yaml_reader& root, yaml_reader& listen, node_settings& s)
{
    s.caller_address = listen.required_address("callers");
    s.directory_address = listen.required_address("directory");
    s.readiness_address = listen.required_address("readiness");
    s.revocation_time =
        root.optional_duration("revocation_time", s.revocation_time, {}, max_revocation_time);
    const std::chrono::milliseconds evacuation_time =
        root.optional_duration("evacuation_time", {}, min_evacuation_time, max_evacuation_time);
    if (evacuation_time.count() > 0) {
        s.evacuation_time = evacuation_time;
    }
    s.learn_capacity = root.optional_flag("learn_capacity", s.learn_capacity);
    yaml_reader retries = root.required_section("retries");
    s.retry_ratio = retries.optional_real("ratio", s.retry_ratio, 0, max_retry_ratio);
    s.retry_slack = retries.optional_real("slack", s.retry_slack, 0, max_retry_slack);
    s.retry_window =
        retries.optional_duration("window", s.retry_window, min_retry_window, max_retry_window);
    retries.finish();
    std::optional<yaml_reader> cold_start = root.optional_section("cold_start");
    if (cold_start) {
        cold_start_settings c;
        c.overshoot = cold_start->optional_real("overshoot", c.overshoot, 0, max_cold_overshoot);
        c.tolerance = cold_start->optional_real("tolerance", c.tolerance, 0, max_cold_tolerance);
        cold_start->finish();
        s.cold_start = c;
    }
}

} // namespace

node_settings_report read_node_settings(const std::string& text, const std::string& file_name)
{
    node_settings_report report;
    const std::optional<YAML::Node> document = parse_yaml(text, file_name, report.problems);
    if (!document) {
        return report;
    }
    document_findings found;
    yaml_reader root(*document, "", file_name, found);
    node_settings s;
    const bool is_gateway = root.required_choice("role", {"gateway", "rank-agent"}) == 0;
    s.role = is_gateway ? node_role::gateway : node_role::rank_agent;
    s.host = core::host_id(root.required_text("host"));
    s.failure_domain = core::failure_domain_id(root.required_text("failure_domain"));
    s.store_address = root.required_address("store");
    s.stop_timeout =
        root.optional_duration("stop_timeout", default_stop_timeout, {}, max_stop_timeout);
    const double memory_mib = root.optional_real("memory_mib", 0, 0, max_memory_mib);
    if (memory_mib > 0) {
        s.memory_mib = memory_mib;
    }
    yaml_reader listen = root.required_section("listen");
    s.peer_address = listen.required_address("peers");
    s.metrics_address = listen.required_address("metrics");
    if (is_gateway) {
        read_gateway(root, listen, s);
    }
    else {
        yaml_reader engine = root.required_section("engine");
        s.engine_address = engine.required_address("address");
        s.service = core::service_id(engine.required_text("service"));
        engine.finish();
    }
    listen.finish();
    root.finish();
    report.problems = std::move(found.problems);
    report.adjustments = std::move(found.adjustments);
    if (report.problems.empty()) {
        report.settings = std::move(s);
    }
    return report;
}

node_settings_report load_node_settings(const std::string& path)
{
    node_settings_report report;
    const std::optional<std::string> text = read_text_file(path, report.problems);
    return text ? read_node_settings(*text, path) : report;
}

} // namespace currantpitch::settings
