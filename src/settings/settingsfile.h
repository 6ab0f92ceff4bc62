#pragma once

#include "core/finding.h"

#include <optional>
#include <string>

namespace currantpitch::settings {

/// Reads a text file. If that fails, reports a finding and returns nullopt.
std::optional<std::string> read_text_file(const std::string& path, core::findings& problems);

/// Logs each number of the settings that was moved into its range.
void log_adjustments(const core::findings& adjustments);

/// The settings file of a running process. It may change without a signal; what it holds takes
/// effect at the next start at the latest, so that a file which cannot be read must be noticed
/// before.
class settings_file {
public:
    explicit settings_file(std::string path) : path_(std::move(path)) {}

    const std::string& path() const { return path_; }

    /// Whether the file differs from the content that was examined last. A change counts from the
    /// second call that sees it, since the file may be read while it is being written.
    bool has_changed();
    /// Returns the present content for an examination, or nullopt and a finding if it cannot be
    /// read.
    std::optional<std::string> examine(core::findings& problems);

private:
    std::optional<std::string> read() const;

    std::string path_;
    std::optional<std::string> examined_ = read();
    std::optional<std::string> seen_ = examined_;
};

/// Updates the metrics and the log after an examination: settings_invalid is 1 while the next start
/// would fail, and the log has the findings.
void record_examination(const std::string& path, const core::findings& problems,
                        const core::findings& adjustments);

} // namespace currantpitch::settings
