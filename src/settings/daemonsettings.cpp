#include "settings/daemonsettings.h"

#include "settings/internal/yamlreader.h"
#include "settings/settingsfile.h"

namespace currantpitch::settings {

namespace {

void read_entry(yaml_reader& root, daemon_settings& s)
{
    s.role = process_role::entry;
    yaml_reader listen = root.required_section("listen");
    s.caller_address = listen.required_address("callers");
    s.peer_address = listen.required_address("peers");
    listen.finish();
    s.seed_peers = root.optional_addresses("seed_peers");
    s.address_lifetime = root.optional_duration("address_lifetime", default_address_lifetime,
                                                min_address_lifetime, max_address_lifetime);
    s.ledger_shards =
        root.optional_number("ledger_shards", default_ledger_shards, 1, max_ledger_shards);
}

void read_agent(yaml_reader& root, daemon_settings& s)
{
    s.role = process_role::agent;
    yaml_reader listen = root.required_section("listen");
    s.peer_address = listen.required_address("peers");
    listen.finish();
    yaml_reader endpoint = root.required_section("endpoint");
    s.endpoint_name = core::endpoint_id(endpoint.required_text("name"));
    s.endpoint_address = endpoint.required_address("address");
    s.endpoint = endpoint.required_choice("type", {"engine", "service"}) == 0
                     ? endpoint_type::engine
                     : endpoint_type::service;
    endpoint.finish();
}

} // namespace

settings_report read_settings(const std::string& text, const std::string& file_name)
{
    settings_report report;
    const std::optional<YAML::Node> document = parse_yaml(text, file_name, report.problems);
    if (!document) {
        return report;
    }
    document_findings found;
    yaml_reader root(*document, "", file_name, found);
    daemon_settings s;
    const bool is_entry = root.required_choice("role", {"entry", "agent"}) == 0;
    s.host = core::host_id(root.required_text("host"));
    s.failure_domain = core::failure_domain_id(root.required_text("failure_domain"));
    s.platform_address = root.required_address("platform");
    s.stop_timeout =
        root.optional_duration("stop_timeout", default_stop_timeout, {}, max_stop_timeout);
    if (is_entry) {
        read_entry(root, s);
    }
    else {
        read_agent(root, s);
    }
    root.finish();
    report.problems = std::move(found.problems);
    report.adjustments = std::move(found.adjustments);
    if (report.problems.empty()) {
        report.settings = std::move(s);
    }
    return report;
}

settings_report load_settings(const std::string& path)
{
    settings_report report;
    const std::optional<std::string> text = read_text_file(path, report.problems);
    return text ? read_settings(*text, path) : report;
}

} // namespace currantpitch::settings
