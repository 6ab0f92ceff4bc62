#include "settings/internal/yamlreader.h"

#include "settings/numbers.h"
#include "wire/framedconnection.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace currantpitch::settings {

yaml_reader::yaml_reader(YAML::Node node, std::string path, std::string file,
                         document_findings& found)
    : node_(std::move(node)), path_(std::move(path)), file_(std::move(file)), found_(&found)
{
}

YAML::Node yaml_reader::child(const std::string& field)
{
    requested_.insert(field);
    if (!node_.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    // Unlike the non-const operator[], the const one does not add a missing field to the node.
    const YAML::Node& const_node = node_;
    return const_node[field];
}

core::finding yaml_reader::finding_at(const YAML::Node& node, const std::string& field,
                                      const std::string& message) const
{
    const YAML::Mark mark = node.IsDefined() ? node.Mark() : node_.Mark();
    const int line = mark.is_null() ? 1 : mark.line + 1;
    const int column = mark.is_null() ? 1 : mark.column + 1;
    const std::string location = file_ + ":" + std::to_string(line) + ":" + std::to_string(column);
    return {location, path_ + field + ": " + message};
}

void yaml_reader::report(const YAML::Node& node, const std::string& field,
                         const std::string& message)
{
    found_->problems.push_back(finding_at(node, field, message));
}

void yaml_reader::report_adjustment(const std::string& field, const std::string& message)
{
    found_->adjustments.push_back(finding_at(child(field), field, message));
}

std::optional<std::string> yaml_reader::scalar(const std::string& field, bool required)
{
    const YAML::Node value = child(field);
    if (!value.IsDefined() || value.IsNull()) {
        if (required) {
            report(value, field, "is missing");
        }
        return std::nullopt;
    }
    if (!value.IsScalar() || value.Scalar().empty()) {
        report(value, field, "must be a non-empty string");
        return std::nullopt;
    }
    return value.Scalar();
}

std::string yaml_reader::required_text(const std::string& field)
{
    return scalar(field, true).value_or("");
}

address yaml_reader::required_address(const std::string& field)
{
    const std::optional<std::string> text = scalar(field, true);
    if (!text) {
        return {};
    }
    const core::result<address> parsed = wire::parse_address(*text);
    if (!parsed) {
        report(child(field), field, parsed.error().detail);
        return {};
    }
    return parsed.value();
}

std::vector<address> yaml_reader::optional_addresses(const std::string& field)
{
    std::vector<address> addresses;
    const YAML::Node list = child(field);
    if (!list.IsDefined()) {
        return addresses;
    }
    if (!list.IsSequence()) {
        report(list, field, "must be a list of ADDRESS:PORT");
        return addresses;
    }
    for (const YAML::Node& item : list) {
        const core::result<address> parsed =
            wire::parse_address(item.IsScalar() ? item.Scalar() : std::string());
        if (!parsed) {
            report(item, field, parsed.error().detail);
            continue;
        }
        addresses.push_back(parsed.value());
    }
    return addresses;
}

std::chrono::milliseconds yaml_reader::optional_duration(const std::string& field,
                                                         std::chrono::milliseconds default_value,
                                                         std::chrono::milliseconds min_duration,
                                                         std::chrono::milliseconds max_duration)
{
    const std::optional<std::string> text = scalar(field, false);
    if (!text) {
        return default_value;
    }
    const std::optional<real_milliseconds> parsed = parse_real_duration(*text);
    if (!parsed) {
        report(child(field), field, "must be a duration such as 500ms, 8.5s or 2m");
        return default_value;
    }
    const real_milliseconds used =
        std::clamp<real_milliseconds>(*parsed, min_duration, max_duration);
    if (used != *parsed) {
        report_adjustment(field, *text + " is not between " + std::to_string(min_duration.count()) +
                                     "ms and " + std::to_string(max_duration.count()) +
                                     "ms; the nearest of them is used");
    }
    return whole_milliseconds(used);
}

unsigned yaml_reader::optional_number(const std::string& field, unsigned default_value,
                                      unsigned min_value, unsigned max_value)
{
    const std::optional<std::string> text = scalar(field, false);
    if (!text) {
        return default_value;
    }
    const std::optional<double> number = parse_real(*text);
    if (!number || std::trunc(*number) != *number || *number < min_value || *number > max_value) {
        report(child(field), field,
               "must be a whole number from " + std::to_string(min_value) + " to " +
                   std::to_string(max_value));
        return default_value;
    }
    return static_cast<unsigned>(*number);
}

double yaml_reader::optional_real(const std::string& field, double default_value, double min_value,
                                  double max_value)
{
    const std::optional<std::string> text = scalar(field, false);
    if (!text) {
        return default_value;
    }
    const std::optional<double> number = parse_real(*text);
    std::ostringstream range;
    range << "from " << min_value << " to " << max_value;
    if (!number) {
        report(child(field), field, "must be a number " + range.str());
        return default_value;
    }
    const double used = std::clamp(*number, min_value, max_value);
    if (used != *number) {
        report_adjustment(field, *text + " is not a number " + range.str() +
                                     "; the nearest of them is used");
    }
    return used;
}

bool yaml_reader::optional_flag(const std::string& field, bool default_value)
{
    const std::optional<std::string> text = scalar(field, false);
    if (!text) {
        return default_value;
    }
    if (*text != "true" && *text != "false") {
        report(child(field), field, "must be true or false");
        return default_value;
    }
    return *text == "true";
}

std::size_t yaml_reader::required_choice(const std::string& field,
                                         const std::vector<std::string>& choices)
{
    const std::optional<std::string> text = scalar(field, true);
    if (!text) {
        return 0;
    }
    std::string listed;
    for (std::size_t i = 0; i < choices.size(); ++i) {
        if (choices[i] == *text) {
            return i;
        }
        listed += (i == 0 ? "" : " or ") + choices[i];
    }
    report(child(field), field, "must be " + listed);
    return 0;
}

yaml_reader yaml_reader::required_section(const std::string& field)
{
    const YAML::Node section = child(field);
    if (!section.IsDefined() || !section.IsMap()) {
        report(section, field, "must be a mapping");
        return yaml_reader(YAML::Node(YAML::NodeType::Map), path_ + field + ".", file_, *found_);
    }
    return yaml_reader(section, path_ + field + ".", file_, *found_);
}

std::optional<yaml_reader> yaml_reader::optional_section(const std::string& field)
{
    return child(field).IsDefined() ? std::optional<yaml_reader>(required_section(field))
                                    : std::nullopt;
}

void yaml_reader::finish()
{
    if (!node_.IsMap()) {
        report(node_, "", "must be a mapping");
        return;
    }
    for (YAML::const_iterator it = node_.begin(); it != node_.end(); ++it) {
        const std::string field = it->first.IsScalar() ? it->first.Scalar() : "?";
        if (!requested_.contains(field)) {
            report(it->first, field, "is not a known field");
        }
    }
}

std::optional<YAML::Node> parse_yaml(const std::string& text, const std::string& file,
                                     core::findings& problems)
{
    try {
        return YAML::Load(text);
    }
    catch (const YAML::ParserException& e) {
        problems.push_back(
            {file + ":" + std::to_string(e.mark.line + 1) + ":" + std::to_string(e.mark.column + 1),
             e.msg});
        return std::nullopt;
    }
}

} // namespace currantpitch::settings
