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
    asked_.insert(field);
    if (!node_.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    const YAML::Node& fixed = node_;
    return fixed[field];
}

void yaml_reader::report(const YAML::Node& at, const std::string& field, const std::string& message)
{
    const YAML::Mark mark = at.IsDefined() ? at.Mark() : node_.Mark();
    const int line = mark.is_null() ? 1 : mark.line + 1;
    const int column = mark.is_null() ? 1 : mark.column + 1;
    const std::string place = file_ + ":" + std::to_string(line) + ":" + std::to_string(column);
    problems_->push_back({place, path_ + field + ": " + message});
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
        report(value, field, "must be a text that is not empty");
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
                                                         std::chrono::milliseconds fallback,
                                                         std::chrono::milliseconds shortest,
                                                         std::chrono::milliseconds longest)
{
    const std::optional<std::string> text = scalar(field, false);
    if (!text) {
        return fallback;
    }
    const std::optional<std::chrono::milliseconds> parsed = parse_duration(*text);
    if (!parsed) {
        report(child(field), field, "must be a time such as 500ms, 10s or 2m");
        return fallback;
    }
    if (*parsed < shortest || *parsed > longest) {
        report(child(field), field,
               "must lie between " + std::to_string(shortest.count()) + "ms and " +
                   std::to_string(longest.count()) + "ms");
        return fallback;
    }
    return *parsed;
}

unsigned yaml_reader::optional_number(const std::string& field, unsigned fallback,
                                      unsigned smallest, unsigned largest)
{
    const std::optional<std::string> text = scalar(field, false);
    if (!text) {
        return fallback;
    }
    unsigned number = 0;
    const char* const last = text->data() + text->size();
    const std::from_chars_result parsed = std::from_chars(text->data(), last, number);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == last;
    if (!whole || number < smallest || number > largest) {
        report(child(field), field,
               "must be a whole number from " + std::to_string(smallest) + " to " +
                   std::to_string(largest));
        return fallback;
    }
    return number;
}

double yaml_reader::optional_real(const std::string& field, double fallback, double smallest,
                                  double largest)
{
    const std::optional<std::string> text = scalar(field, false);
    if (!text) {
        return fallback;
    }
    double number = 0;
    const char* const last = text->data() + text->size();
    const std::from_chars_result parsed = std::from_chars(text->data(), last, number);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == last;
    if (!whole || !(number >= smallest && number <= largest)) {
        std::ostringstream bounds;
        bounds << "must be a number from " << smallest << " to " << largest;
        report(child(field), field, bounds.str());
        return fallback;
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

void yaml_reader::finish()
{
    if (!node_.IsMap()) {
        report(node_, "", "must be a mapping");
        return;
    }
    for (YAML::const_iterator it = node_.begin(); it != node_.end(); ++it) {
        const std::string field = it->first.IsScalar() ? it->first.Scalar() : "?";
        if (!asked_.contains(field)) {
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
