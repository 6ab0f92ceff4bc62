#include "settings/daemonsettings.h"
#include "settings/numbers.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

const char* const entry_text = R"(role: entry
host: entry-1
failure_domain: fd-a
platform: 127.0.0.1:8000
listen:
  callers: 127.0.0.1:8101
  peers: 127.0.0.1:8201
seed_peers: ["127.0.0.1:8202"]
address_lifetime: 5s
)";

} // namespace

TEST_GROUP(settings_file){};

TEST(settings_file, entry_settings_are_read)
{
    const settings::settings_report report = settings::read_settings(entry_text, "entry.yaml");
    CHECK(report.problems.empty());
    CHECK(report.settings->host == core::host_id("entry-1"));
    CHECK(report.settings->caller_address.port() == 8101);
    CHECK(report.settings->address_lifetime == 5s);
    CHECK(report.settings->stop_timeout == settings::default_stop_timeout);
}

TEST(settings_file, every_finding_is_reported_with_its_place)
{
    const settings::settings_report report = settings::read_settings("role: agent\n"
                                                                     "host: h\n"
                                                                     "failure_domain: [x]\n"
                                                                     "listen: {peers: nowhere}\n"
                                                                     "colour: blue\n",
                                                                     "a.yaml");
    CHECK(!report.settings.has_value());
    const core::findings expected = {
        {"a.yaml:3:17", "failure_domain: must be a non-empty string"},
        {"a.yaml:1:1", "platform: is missing"},
        {"a.yaml:4:17", "listen.peers: expected ADDRESS:PORT, got \"nowhere\""},
        {"a.yaml:1:1", "endpoint: must be a mapping"},
    };
    for (const core::finding& f : expected) {
        CHECK(std::find(report.problems.begin(), report.problems.end(), f) !=
              report.problems.end());
    }
    CHECK(core::to_text(report.problems).find("a.yaml:5:1: colour: is not a known field") !=
          std::string::npos);
}

TEST(settings_file, broken_yaml_is_one_finding)
{
    const settings::settings_report report = settings::read_settings("a: [1", "b.yaml");
    CHECK(report.problems.size() == 1);
}

TEST(settings_file, arbitrary_text_gives_findings)
{
    CHECK_PROPERTY("arbitrary text", [](const std::string& text) {
        RC_ASSERT(!settings::read_settings(text, "c.yaml").problems.empty());
    });
}

// A number of shards that the entries do not share would split the ledger.
TEST(settings_file, number_of_shards_is_never_adjusted)
{
    for (const char* const number : {"0", "5000", "16.5", "many", "-1"}) {
        const std::string text = std::string(entry_text) + "ledger_shards: " + number + "\n";
        CHECK_TEXT(!settings::read_settings(text, "d.yaml").settings, number);
    }
    const std::string text = std::string(entry_text) + "ledger_shards: 3.2e1\n";
    LONGS_EQUAL(32, settings::read_settings(text, "d.yaml").settings->ledger_shards);
}

TEST(settings_file, times_need_a_unit)
{
    CHECK(settings::parse_duration("250ms") == 250ms);
    CHECK(settings::parse_duration("3m") == 3min);
    CHECK(!settings::parse_duration("3").has_value());
    CHECK(!settings::parse_duration("-3s").has_value());
    CHECK(!settings::parse_duration("99999999999999999999s").has_value());
}
