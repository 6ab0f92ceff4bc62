#include "settings/nodesettings.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

const char* const gateway_text = R"(role: gateway
host: edge-a-1
failure_domain: fd-a
store: 10.0.0.1:8223
stop_timeout: 8s
listen:
  callers: 10.0.0.2:8227
  directory: 10.0.0.2:8224
  readiness: 10.0.0.2:8220
  peers: 10.0.0.2:7340
  metrics: 10.0.0.2:9464
revocation_time: 5000ms
retries: {ratio: 0.2, slack: 90, window: 10s}
)";

const char* const agent_text = R"(role: rank-agent
host: side-a-1
failure_domain: fd-a
store: 10.0.0.1:8223
listen: {peers: "10.0.0.3:7340", metrics: "10.0.0.3:9464"}
engine: {address: "10.0.0.3:8228", service: tutor}
)";

} // namespace

TEST_GROUP(node_settings_file){};

TEST(node_settings_file, gateway_settings_are_read)
{
    const settings::node_settings_report report =
        settings::read_node_settings(gateway_text, "gateway.yaml");
    CHECK(report.problems.empty());
    CHECK(report.settings->role == settings::node_role::gateway);
    LONGS_EQUAL(8224, report.settings->directory_address.port());
    DOUBLES_EQUAL(0.2, report.settings->retry_ratio, 1e-9);
    CHECK(report.settings->revocation_time == 5s);
}

TEST(node_settings_file, bound_on_cold_endpoints_is_optional)
{
    CHECK(!settings::read_node_settings(gateway_text, "a.yaml").settings->cold_start);
    const std::string text =
        std::string(gateway_text) + "cold_start:\n  overshoot: 1.5\n  tolerance: 5\n";
    const settings::node_settings_report report = settings::read_node_settings(text, "a.yaml");
    DOUBLES_EQUAL(1.5, report.settings->cold_start->overshoot, 1e-9);
    DOUBLES_EQUAL(5, report.settings->cold_start->tolerance, 1e-9);
    CHECK(!settings::read_node_settings(std::string(gateway_text) + "cold_start: {overshoot: -1}",
                                        "a.yaml")
               .settings);
}

// Guards against learning that is on without being asked for, or by a misspelt value.
TEST(node_settings_file, capacity_is_learned_only_on_request)
{
    const std::string text(gateway_text);
    CHECK(!settings::read_node_settings(text, "g.yaml").settings->learn_capacity);
    CHECK(settings::read_node_settings(text + "learn_capacity: true\n", "g.yaml")
              .settings->learn_capacity);
    CHECK(!settings::read_node_settings(text + "learn_capacity: on\n", "g.yaml").settings);
}

TEST(node_settings_file, agent_settings_are_read)
{
    const settings::node_settings_report report =
        settings::read_node_settings(agent_text, "agent.yaml");
    CHECK(report.problems.empty());
    CHECK(report.settings->role == settings::node_role::rank_agent);
    CHECK(report.settings->service == core::service_id("tutor"));
}

TEST(node_settings_file, every_finding_is_reported_with_its_place)
{
    const settings::node_settings_report report = settings::read_node_settings(
        "role: gateway\nhost: a\nretries: {ratio: -1}\nsurplus: 1\n", "a.yaml");
    CHECK(!report.settings);
    // failure_domain, store, listen and its five addresses, ratio, surplus
    CHECK(report.problems.size() >= 5);
    CHECK(core::to_text(report.problems).find("a.yaml:3") != std::string::npos);
    CHECK(core::to_text(report.problems).find("surplus") != std::string::npos);
}

TEST(node_settings_file, invalid_yaml_or_missing_file_is_a_finding)
{
    CHECK_EQUAL(1, settings::read_node_settings("role: [", "a.yaml").problems.size());
    CHECK_EQUAL(1, settings::load_node_settings("/nonexistent.yaml").problems.size());
}

TEST(node_settings_file, evacuations_are_followed_only_where_their_time_is_set)
{
    CHECK(!settings::read_node_settings(gateway_text, "a.yaml").settings->evacuation_time);
    const std::string text = gateway_text;
    const settings::node_settings_report report =
        settings::read_node_settings(text + "evacuation_time: 5000ms\n", "a.yaml");
    CHECK(report.settings->evacuation_time == 5s);
    const settings::node_settings_report too_short =
        settings::read_node_settings(text + "evacuation_time: 10ms\n", "a.yaml");
    CHECK(too_short.settings->evacuation_time == settings::min_evacuation_time);
    CHECK(core::to_text(too_short.adjustments).find("a.yaml:14:18: evacuation_time: 10ms") !=
          std::string::npos);
    CHECK(!settings::read_node_settings(text + "evacuation_time: -10ms\n", "a.yaml").settings);
}
