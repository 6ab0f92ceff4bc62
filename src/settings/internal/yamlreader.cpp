#include "settings/internal/yamlreader.h"

#include "wire/framedconnection.h"

#include <charconv>
#include <fstream>
#include <sstream>

namespace currantpitch::settings {

yaml_reader::yaml_reader(YAML::Node node, std::string path, std::string file,
                         core::findings& problems)
    : node_(std::move(node)), path_(std::move(path)), file_(std::move(file)), problems_(&problems)
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

void yaml_reader::report(const YAML::Node& node, const std::string& field,
                         const std::string& message)
{
    const YAML::Mark mark = node.IsDefined() ? node.Mark() : node_.Mark();
    const int line = mark.is_null() ? 1 : mark.line + 1;
    const int column = mark.is_null() ? 1 : mark.column + 1;
    const std::string location = file_ + ":" + std::to_string(line) + ":" + std::to_string(column);
    problems_->push_back({location, path_ + field + ": " + message});
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
    const std::optional<std::chrono::milliseconds> parsed = parse_duration(*text);
    if (!parsed) {
        report(child(field), field, "must be a duration such as 500ms, 10s or 2m");
        return default_value;
    }
    if (*parsed < min_duration || *parsed > max_duration) {
        report(child(field), field,
               "must be between " + std::to_string(min_duration.count()) + "ms and " +
                   std::to_string(max_duration.count()) + "ms");
        return default_value;
    }
    return *parsed;
}

unsigned yaml_reader::optional_number(const std::string& field, unsigned default_value,
                                      unsigned min_value, unsigned max_value)
{
    const std::optional<std::string> text = scalar(field, false);
    if (!text) {
        return default_value;
    }
    unsigned number = 0;
    const char* const end = text->data() + text->size();
    const std::from_chars_result parsed = std::from_chars(text->data(), end, number);
    const bool is_fully_parsed = parsed.ec == std::errc() && parsed.ptr == end;
    if (!is_fully_parsed || number < min_value || number > max_value) {
        report(child(field), field,
               "must be a whole number from " + std::to_string(min_value) + " to " +
                   std::to_string(max_value));
        return default_value;
    }
    return number;
}

double yaml_reader::optional_real(const std::string& field, double default_value, double min_value,
                                  double max_value)
{
    const std::optional<std::string> text = scalar(field, false);
    if (!text) {
        return default_value;
    }
    double number = 0;
    const char* const end = text->data() + text->size();
    const std::from_chars_result parsed = std::from_chars(text->data(), end, number);
    const bool is_fully_parsed = parsed.ec == std::errc() && parsed.ptr == end;
    if (!is_fully_parsed || !(number >= min_value && number <= max_value)) {
        std::ostringstream bounds;
        bounds << "must be a number from " << min_value << " to " << max_value;
        report(child(field), field, bounds.str());
        return default_value;
    }
    return number;
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
        return yaml_reader(YAML::Node(YAML::NodeType::Map), path_ + field + ".", file_, *problems_);
    }
    return yaml_reader(section, path_ + field + ".", file_, *problems_);
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

} // namespace currantpitch::settings
