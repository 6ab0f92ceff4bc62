#include "currantpitchctl/manifest.h"

#include "intents/resource.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

namespace currantpitch::ctl {

namespace json = boost::json;

namespace {

json::value scalar_value(const YAML::Node& node)
{
    const std::string& text = node.Scalar();
    // A quoted scalar has the tag "!" and is always a string.
    if (node.Tag() == "!") {
        return json::string(text);
    }
    if (text == "true" || text == "false") {
        return text == "true";
    }
    const char* const end = text.data() + text.size();
    std::int64_t integer = 0;
    const std::from_chars_result parsed_integer = std::from_chars(text.data(), end, integer);
    if (parsed_integer.ec == std::errc() && parsed_integer.ptr == end) {
        return integer;
    }
    double number = 0;
    const std::from_chars_result parsed_number = std::from_chars(text.data(), end, number);
    if (parsed_number.ec == std::errc() && parsed_number.ptr == end) {
        return number;
    }
    return json::string(text);
}

json::value to_json(const YAML::Node& node)
{
    if (node.IsScalar()) {
        return scalar_value(node);
    }
    if (node.IsSequence()) {
        json::array list;
        for (const YAML::Node& item : node) {
            list.push_back(to_json(item));
        }
        return list;
    }
    if (node.IsMap()) {
        json::object fields;
        for (YAML::const_iterator it = node.begin(); it != node.end(); ++it) {
            fields[it->first.Scalar()] = to_json(it->second);
        }
        return fields;
    }
    return nullptr;
}

std::string read_input(const std::string& path, core::findings& problems)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path);
    if (!file) {
        problems.push_back({path, "cannot be read"});
        return "";
    }
    text << file.rdbuf();
    return text.str();
}

} // namespace

manifest load_manifest(const std::string& path)
{
    manifest result;
    const std::string text = read_input(path, result.problems);
    if (!result.problems.empty()) {
        return result;
    }
    std::vector<YAML::Node> nodes;
    try {
        nodes = YAML::LoadAll(text);
    }
    catch (const YAML::ParserException& e) {
        result.problems.push_back(
            {path + ":" + std::to_string(e.mark.line + 1) + ":" + std::to_string(e.mark.column + 1),
             e.msg});
        return result;
    }
    for (const YAML::Node& node : nodes) {
        if (node.IsNull()) {
            continue;
        }
        const std::string location = path + ":" + std::to_string(node.Mark().line + 1);
        const json::value body = to_json(node);
        const intents::draft_report report = intents::parse_draft(json::serialize(body));
        for (const core::finding& f : report.problems) {
            result.problems.push_back({location + ": " + f.location, f.message});
        }
        if (body.is_object()) {
            result.documents.push_back({location, body.as_object()});
        }
    }
    if (result.documents.empty() && result.problems.empty()) {
        result.problems.push_back({path, "contains no resources"});
    }
    return result;
}

} // namespace currantpitch::ctl
