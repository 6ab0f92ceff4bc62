#include "intents/specs.h"

#include "intents/fieldreader.h"
#include "intents/intentsconstants.h"

#include <algorithm>
#include <array>

namespace currantpitch::intents {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 5> kind_names = {"ModelGroup", "Workspace", "Endpoint",
                                                        "Host", "Quarantine"};

template <class Spec>
spec_report<Spec> report_of(core::findings problems, Spec spec)
{
    spec_report<Spec> report{std::move(problems), std::nullopt};
    if (report.problems.empty()) {
        report.spec = std::move(spec);
    }
    return report;
}

} // namespace

std::string_view to_string(resource_kind kind)
{
    return kind_names[static_cast<std::size_t>(kind)];
}

std::optional<resource_kind> kind_from_string(std::string_view text)
{
    for (std::size_t i = 0; i < kind_names.size(); ++i) {
        if (kind_names[i] == text) {
            return static_cast<resource_kind>(i);
        }
    }
    return std::nullopt;
}

std::vector<std::string> all_kind_names()
{
    return {kind_names.begin(), kind_names.end()};
}

bool operator_writable(resource_kind kind)
{
    return kind != resource_kind::host && kind != resource_kind::quarantine;
}

spec_report<model_group_spec> parse_model_group(const json::object& from)
{
    core::findings problems;
    field_reader reader(from, "spec.", problems);
    model_group_spec s;
    s.model = reader.text("model");
    s.ranks = reader.integer("ranks", 1, max_ranks);
    s.experts = reader.integer("experts", 1, max_experts);
    s.layers = reader.integer_or("layers", 1, 1, max_layers);
    s.slots_per_rank = reader.integer("slots_per_rank", 1, max_experts);
    s.expert_bytes = reader.integer_or("expert_bytes", 0, 0, max_expert_bytes);
    s.skew_weight = reader.number_or("skew_weight", 1, 0, max_weight);
    s.move_weight = reader.number_or("move_weight", 1, 0, max_weight);
    s.move_budget_bytes_per_hour =
        reader.integer_or("move_budget_bytes_per_hour", 0, 0, max_expert_bytes);
    if (s.ranks * s.slots_per_rank < s.experts) {
        reader.report("slots_per_rank", "ranks times slots_per_rank must hold all experts");
    }
    reader.finish();
    return report_of(std::move(problems), std::move(s));
}

spec_report<workspace_spec> parse_workspace(const json::object& from)
{
    core::findings problems;
    field_reader reader(from, "spec.", problems);
    workspace_spec s;
    for (const std::string& name : reader.text_list("services")) {
        s.services.emplace_back(name);
    }
    s.share = reader.integer_or("share", 1, 1, max_share);
    s.entries = reader.integer_or("entries", 0, 0, max_concurrency);
    s.max_in_flight = reader.integer_or("max_in_flight", 0, 0, max_concurrency);
    reader.finish();
    return report_of(std::move(problems), std::move(s));
}

spec_report<endpoint_spec> parse_endpoint(const json::object& from)
{
    core::findings problems;
    field_reader reader(from, "spec.", problems);
    endpoint_spec s;
    s.service = core::service_id(reader.text("service"));
    s.role = static_cast<endpoint_role>(reader.choice("role", {"engine", "service"}));
    s.host = core::host_id(reader.text("host"));
    s.rank = reader.integer_or("rank", 0, 0, max_ranks - 1);
    s.checks_fencing = reader.boolean("checks_fencing");
    s.concurrency = reader.integer_or("concurrency", 1, 1, max_concurrency);
    s.desired = static_cast<desired_state>(reader.choice_or("desired", 0, {"serving", "leaving"}));
    reader.finish();
    return report_of(std::move(problems), std::move(s));
}

spec_report<host_spec> parse_host(const json::object& from)
{
    core::findings problems;
    field_reader reader(from, "spec.", problems);
    host_spec s;
    s.role = static_cast<host_role>(reader.choice("role", {"entry", "agent"}));
    s.failure_domain = core::failure_domain_id(reader.text("failure_domain"));
    if (s.role == host_role::entry) {
        s.caller_address = reader.text("caller_address");
    }
    s.peer_address = reader.text("peer_address");
    // Encoded as text, since not every JSON implementation keeps 64 bits of a number.
    s.incarnation.value = std::strtoull(reader.text("incarnation").c_str(), nullptr, 10);
    s.state = static_cast<host_state>(reader.choice("state", {"live", "leaving"}));
    reader.finish();
    return report_of(std::move(problems), std::move(s));
}

spec_report<quarantine_spec> parse_quarantine(const json::object& from)
{
    core::findings problems;
    field_reader reader(from, "spec.", problems);
    quarantine_spec s;
    s.workspace = core::workspace_id(reader.text_or("workspace", ""));
    s.fingerprint = reader.text("fingerprint");
    s.evidence = reader.text_list("evidence");
    s.expires_at = core::wall_time(std::chrono::milliseconds(
        reader.integer("expires_at_unix_ms", 0, std::numeric_limits<std::int64_t>::max())));
    reader.finish();
    return report_of(std::move(problems), std::move(s));
}

json::object to_json(const host_spec& s)
{
    json::object spec{{"role", s.role == host_role::entry ? "entry" : "agent"},
                      {"failure_domain", s.failure_domain.str()},
                      {"peer_address", s.peer_address},
                      {"incarnation", std::to_string(s.incarnation.value)},
                      {"state", s.state == host_state::live ? "live" : "leaving"}};
    if (s.role == host_role::entry) {
        spec["caller_address"] = s.caller_address;
    }
    return spec;
}

json::object to_json(const quarantine_spec& s)
{
    json::object spec{{"fingerprint", s.fingerprint},
                      {"evidence", json::array(s.evidence.begin(), s.evidence.end())},
                      {"expires_at_unix_ms", s.expires_at.time_since_epoch().count()}};
    if (!s.workspace.empty()) {
        spec["workspace"] = s.workspace.str();
    }
    return spec;
}

core::findings validate_spec(resource_kind kind, const json::object& spec)
{
    switch (kind) {
    case resource_kind::model_group:
        return parse_model_group(spec).problems;
    case resource_kind::workspace:
        return parse_workspace(spec).problems;
    case resource_kind::endpoint:
        return parse_endpoint(spec).problems;
    case resource_kind::host:
        return parse_host(spec).problems;
    case resource_kind::quarantine:
        return parse_quarantine(spec).problems;
    }
    return {{"kind", "is not a known kind"}};
}

core::findings validate_name(std::string_view name)
{
    const bool valid_length = !name.empty() && name.size() <= max_name_bytes;
    const bool valid_characters = std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_';
    });
    if (valid_length && valid_characters) {
        return {};
    }
    return {{"metadata.name", "must have 1 to " + std::to_string(max_name_bytes) +
                                  " letters, digits, '-', '.' or '_'"}};
}

} // namespace currantpitch::intents
