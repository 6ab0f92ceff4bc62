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
    // A quoted scalar carries the tag "!" and is always a text.
    if (node.Tag() == "!") {
        return json::string(text);
    }
    if (text == "true" || text == "false") {
        return text == "true";
    }
    const char* const last = text.data() + text.size();
    std::int64_t whole = 0;
    const std::from_chars_result as_whole = std::from_chars(text.data(), last, whole);
    if (as_whole.ec == std::errc() && as_whole.ptr == last) {
        return whole;
    }
    double number = 0;
    const std::from_chars_result as_number = std::from_chars(text.data(), last, number);
    if (as_number.ec == std::errc() && as_number.ptr == last) {
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

std::string read_all(const std::string& path, core::findings& problems)
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
    const std::string text = read_all(path, result.problems);
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
        const std::string place = path + ":" + std::to_string(node.Mark().line + 1);
        const json::value body = to_json(node);
        const intents::draft_report report = intents::parse_draft(json::serialize(body));
        for (const core::finding& f : report.problems) {
            result.problems.push_back({place + ": " + f.place, f.message});
        }
        if (body.is_object()) {
            result.documents.push_back({place, body.as_object()});
        }
    }
    if (result.documents.empty() && result.problems.empty()) {
        result.problems.push_back({path, "holds no resource"});
    }
    return result;
}

} // namespace currantpitch::ctl
