#pragma once

#include "core/counters.h"
#include "core/timer.h"
#include "settings/settingsconstants.h"
#include "settings/settingsfile.h"

#include <concepts>
#include <type_traits>

namespace currantpitch::settings {

/// Reads a role's settings: read(text, file name) returns a report with problems, adjustments and,
/// if there are no problems, the settings.
template <class R>
concept settings_reader = requires(const R& read, const std::string& text)
{
    {
        read(text, text).problems
        } -> std::convertible_to<core::findings>;
    {
        read(text, text).adjustments
        } -> std::convertible_to<core::findings>;
    {*read(text, text).settings};
};

/// Reads the settings of a running process again when it is told to, and when their file has
/// changed. Passes readable ones on and shows in metrics and log while the file is unreadable.
template <settings_reader Read, class Apply>
class settings_watch {
public:
    settings_watch(std::string path, Read read, Apply apply)
        : file_(std::move(path)), read_(std::move(read)), apply_(std::move(apply))
    {
        core::gauge_for("settings_invalid").set(0);
    }

    /// Reads the file now.
    void reload()
    {
        core::findings problems;
        const std::optional<std::string> text = file_.examine(problems);
        if (!text) {
            record_examination(file_.path(), problems, {});
            return;
        }
        const report_type report = read_(*text, file_.path());
        record_examination(file_.path(), report.problems, report.adjustments);
        if (report.settings) {
            apply_(*report.settings);
        }
    }
    /// Looks for changes until the process ends.
    core::task<void> run()
    {
        while (true) {
            co_await core::sleep_for(settings_check_interval);
            if (file_.has_changed()) {
                reload();
            }
        }
    }

private:
    using report_type = std::invoke_result_t<const Read&, const std::string&, const std::string&>;

    settings_file file_;
    Read read_;
    Apply apply_;
};

} // namespace currantpitch::settings
