#include "settings/settingsfile.h"

#include "core/counters.h"
#include "core/eventlog.h"

#include <fstream>
#include <sstream>

namespace currantpitch::settings {

std::optional<std::string> read_text_file(const std::string& path, core::findings& problems)
{
    std::ifstream file(path);
    if (!file) {
        problems.push_back({path, "cannot be read"});
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void log_adjustments(const core::findings& adjustments)
{
    core::gauge_for("settings_adjusted").set(static_cast<double>(adjustments.size()));
    for (const core::finding& f : adjustments) {
        core::log_event("settings_adjusted", core::log_event::level::warning)
            .field("finding", f.location + ": " + f.message);
    }
}

std::optional<std::string> settings_file::read() const
{
    core::findings ignored;
    return read_text_file(path_, ignored);
}

bool settings_file::has_changed()
{
    std::optional<std::string> now = read();
    const bool settled = now == seen_;
    seen_ = std::move(now);
    return settled && seen_ != examined_;
}

std::optional<std::string> settings_file::examine(core::findings& problems)
{
    examined_ = read_text_file(path_, problems);
    seen_ = examined_;
    return examined_;
}

void record_examination(const std::string& path, const core::findings& problems,
                        const core::findings& adjustments)
{
    core::gauge_for("settings_invalid").set(problems.empty() ? 0 : 1);
    core::counter_for("settings_reads_total",
                      problems.empty() ? "outcome=\"read\"" : "outcome=\"refused\"")
        .add();
    if (!problems.empty()) {
        core::log_event("reload_refused", core::log_event::level::error)
            .field("settings", path)
            .field("findings", core::to_text(problems));
        return;
    }
    core::log_event("reload").field("settings", path);
    log_adjustments(adjustments);
}

} // namespace currantpitch::settings
