#pragma once

#include "core/finding.h"
#include "settings/daemonsettings.h"

#include <yaml-cpp/yaml.h>

#include <set>

namespace currantpitch::settings {

/// Reads the fields of one YAML mapping and collects what is wrong with them. Fields that were
/// not asked for are findings.
class yaml_reader {
public:
    yaml_reader(YAML::Node node, std::string path, std::string file, core::findings& problems);

    std::string required_text(const std::string& field);
    address required_address(const std::string& field);
    std::vector<address> optional_addresses(const std::string& field);
    std::chrono::milliseconds optional_duration(const std::string& field,
                                                std::chrono::milliseconds fallback,
                                                std::chrono::milliseconds shortest,
                                                std::chrono::milliseconds longest);
    unsigned optional_number(const std::string& field, unsigned fallback, unsigned smallest,
                             unsigned largest);
    double optional_real(const std::string& field, double fallback, double smallest,
                         double largest);
    /// A text that must be one of the choices; returns its index, or 0 with a finding.
    std::size_t required_choice(const std::string& field, const std::vector<std::string>& choices);
    /// The mapping below a field; an empty one with a finding when it is absent.
    yaml_reader required_section(const std::string& field);

    /// Reports the fields that were never asked for.
    void finish();

private:
    YAML::Node child(const std::string& field);
    std::optional<std::string> scalar(const std::string& field, bool required);
    void report(const YAML::Node& at, const std::string& field, const std::string& message);

    YAML::Node node_;
    std::string path_;
    std::string file_;
    core::findings* problems_;
    std::set<std::string> asked_;
};

/// The document in the text; nothing, with a finding, when it cannot be parsed.
std::optional<YAML::Node> parse_yaml(const std::string& text, const std::string& file,
                                     core::findings& problems);
/// The text of a file; nothing, with a finding, when it cannot be read.
std::optional<std::string> read_text_file(const std::string& path, core::findings& problems);

} // namespace currantpitch::settings
