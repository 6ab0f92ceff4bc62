#include "core/counters.h"
#include "core/eventlog.h"
#include "settings/daemonsettings.h"
#include "settings/nodesettings.h"
#include "settings/settingswatch.h"

#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

#include <cstdlib>
#include <fstream>
#include <unistd.h>

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

const char* const agent_text = R"(role: rank-agent
host: side-a-1
failure_domain: fd-a
store: 10.0.0.1:8223
listen: {peers: "10.0.0.3:7340", metrics: "10.0.0.3:9464"}
engine: {address: "10.0.0.3:8228", service: tutor}
)";

} // namespace

TEST_GROUP(watched_settings)
{
    std::string path;
    testing::paused_run run;
    std::vector<settings::node_settings> applied;
    std::function<void(const settings::node_settings&)> apply =
        [this](const settings::node_settings& s) {
            applied.push_back(s);
        };

    void setup() override
    {
        core::silence_log();
        std::string pattern = "/tmp/tst_settingsXXXXXX";
        const int file = mkstemp(pattern.data());
        CHECK(file >= 0);
        ::close(file);
        path = pattern;
    }
    void teardown() override
    {
        ::unlink(path.c_str());
    }
    void write(const std::string& text)
    {
        std::ofstream(path) << text;
    }
    bool shown_as_invalid()
    {
        return core::gauge_for("settings_invalid").value() == 1;
    }
};

// Guards against settings that become unreadable without anyone noticing before the next start.
TEST(watched_settings, unreadable_file_is_shown_without_a_signal)
{
    write(agent_text);
    settings::settings_watch watch(path, settings::read_node_settings, apply);
    run.spawn(watch.run());
    run.advance(1min);
    CHECK(!shown_as_invalid());
    CHECK(applied.empty());
    write(std::string(agent_text) + "stop_timeout: soon\n");
    run.advance(2 * settings::settings_check_interval);
    CHECK(shown_as_invalid());
    CHECK(applied.empty());
    write(std::string(agent_text) + "stop_timeout: 9.5s\n");
    run.advance(2 * settings::settings_check_interval);
    CHECK(!shown_as_invalid());
    LONGS_EQUAL(1, applied.size());
    CHECK(applied.front().stop_timeout == 9500ms);
    ::unlink(path.c_str());
    run.advance(2 * settings::settings_check_interval);
    CHECK(shown_as_invalid());
    LONGS_EQUAL(1, applied.size());
}

TEST(watched_settings, signal_reads_the_file_at_once)
{
    write(agent_text);
    settings::settings_watch watch(path, settings::read_node_settings, apply);
    write("role: [");
    watch.reload();
    CHECK(shown_as_invalid());
    write(std::string(agent_text) + "stop_timeout: 3s\n");
    watch.reload();
    CHECK(!shown_as_invalid());
    LONGS_EQUAL(1, applied.size());
}

// Guards against settings that are applied while they are only partly written.
TEST(watched_settings, change_is_read_once_the_file_stays_the_same)
{
    write(agent_text);
    settings::settings_watch watch(path, settings::read_node_settings, apply);
    run.spawn(watch.run());
    for (int i = 1; i < 4; ++i) {
        write(std::string(agent_text) + "stop_timeout: " + std::to_string(i) + "s\n");
        run.advance(settings::settings_check_interval);
        CHECK(applied.empty());
    }
    run.advance(settings::settings_check_interval);
    LONGS_EQUAL(1, applied.size());
    CHECK(applied.front().stop_timeout == 3s);
}

TEST(watched_settings, numbers_outside_their_range_are_counted)
{
    write(agent_text);
    settings::settings_watch watch(path, settings::read_node_settings, apply);
    write(std::string(agent_text) + "stop_timeout: 1e9s\n");
    watch.reload();
    CHECK(!shown_as_invalid());
    LONGS_EQUAL(1, core::gauge_for("settings_adjusted").value());
}

// The daemon of the product shares reader and watch.
TEST(watched_settings, settings_of_the_daemon_are_watched)
{
    write("role: entry");
    int read = 0;
    settings::settings_watch watch(path, settings::read_settings,
                                   [&read](const settings::daemon_settings&) { ++read; });
    watch.reload();
    CHECK(shown_as_invalid());
    write("role: entry\nhost: e\nfailure_domain: f\nplatform: 127.0.0.1:1\n"
          "listen: {callers: \"127.0.0.1:2\", peers: \"127.0.0.1:3\"}\n"
          "address_lifetime: 1e9s\nledger_shards: 16.0\nstop_timeout: 8.5s\n");
    watch.reload();
    CHECK(!shown_as_invalid());
    LONGS_EQUAL(1, read);
    LONGS_EQUAL(1, core::gauge_for("settings_adjusted").value());
}
