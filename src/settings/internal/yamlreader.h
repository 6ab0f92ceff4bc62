#pragma once

#include "core/finding.h"
#include "settings/daemonsettings.h"

#include <yaml-cpp/yaml.h>

#include <set>

namespace currantpitch::settings {

/// Findings about one document.
struct document_findings {
    /// What cannot be read. The settings must not be used.
    core::findings problems;
    /// Numbers outside the range of their setting. The nearest value in the range is used.
    core::findings adjustments;
};

/// Reads the fields of one YAML mapping and collects findings about them. finish reports the fields
/// that no call has requested.
///
/// Numbers and durations may be fractions. One outside the range of its setting is an adjustment
/// and not a problem: the process that reads it has to start.
class yaml_reader {
public:
    yaml_reader(YAML::Node node, std::string path, std::string file, document_findings& found);

    std::string required_text(const std::string& field);
    address required_address(const std::string& field);
    std::vector<address> optional_addresses(const std::string& field);
    /// Reads a duration and rounds it down to whole milliseconds.
    std::chrono::milliseconds optional_duration(const std::string& field,
                                                std::chrono::milliseconds default_value,
                                                std::chrono::milliseconds min_duration,
                                                std::chrono::milliseconds max_duration);
    /// Reads a whole number. Unlike for the others, a value outside the range is a problem: the
    /// processes that must agree on it may support different ranges.
    unsigned optional_number(const std::string& field, unsigned default_value, unsigned min_value,
                             unsigned max_value);
    double optional_real(const std::string& field, double default_value, double min_value,
                         double max_value);
    bool optional_flag(const std::string& field, bool default_value);
    /// Reads a text that must be one of the choices. Returns its index, or 0 after reporting a
    /// finding.
    std::size_t required_choice(const std::string& field, const std::vector<std::string>& choices);
    /// Returns the mapping below a field. If it is absent, reports a finding and returns an empty
    /// mapping.
    yaml_reader required_section(const std::string& field);
    /// Returns the mapping below a field, or nullopt if it is absent.
    std::optional<yaml_reader> optional_section(const std::string& field);

    /// Reports every field that was never requested as an unknown field. A node that is not a
    /// mapping is reported as well.
    void finish();

private:
    YAML::Node child(const std::string& field);
    std::optional<std::string> scalar(const std::string& field, bool required);
    void report(const YAML::Node& node, const std::string& field, const std::string& message);
    void report_adjustment(const std::string& field, const std::string& message);
    core::finding finding_at(const YAML::Node& node, const std::string& field,
                             const std::string& message) const;

    YAML::Node node_;
    std::string path_;
    std::string file_;
    document_findings* found_;
    std::set<std::string> requested_;
};

/// Parses the document in the text. If that fails, reports a finding and returns nullopt.
std::optional<YAML::Node> parse_yaml(const std::string& text, const std::string& file,
                                     core::findings& problems);

} // namespace currantpitch::settings
