#include "currantpitchctl/output.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <sstream>

namespace currantpitch::ctl {

namespace json = boost::json;

namespace {

void emit(YAML::Emitter& out, const json::value& value)
{
    if (value.is_object()) {
        out << YAML::BeginMap;
        for (const json::key_value_pair& field : value.as_object()) {
            out << YAML::Key << std::string(field.key()) << YAML::Value;
            emit(out, field.value());
        }
        out << YAML::EndMap;
    }
    else if (value.is_array()) {
        out << YAML::BeginSeq;
        for (const json::value& item : value.as_array()) {
            emit(out, item);
        }
        out << YAML::EndSeq;
    }
    else if (value.is_string()) {
        out << std::string(value.as_string());
    }
    else {
        out << json::serialize(value);
    }
}

std::string text_of(const json::value& value)
{
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

std::string field_text(const json::object& from, const std::vector<std::string>& path)
{
    const json::object* current = &from;
    for (std::size_t i = 0; i < path.size(); ++i) {
        const json::value* const value = current->if_contains(path[i]);
        if (value == nullptr) {
            return "-";
        }
        if (i + 1 == path.size()) {
            return text_of(*value);
        }
        if (!value->is_object()) {
            return "-";
        }
        current = &value->as_object();
    }
    return "-";
}

std::vector<std::string> row_of(const json::object& resource)
{
    const std::string in_force = field_text(resource, {"status", "in_force", "entries"}) + "/" +
                                 field_text(resource, {"status", "in_force", "of"});
    std::string conditions;
    const json::value* const status = resource.if_contains("status");
    const json::value* const list = status != nullptr && status->is_object()
                                        ? status->as_object().if_contains("conditions")
                                        : nullptr;
    if (list != nullptr && list->is_array()) {
        for (const json::value& c : list->as_array()) {
            conditions += (conditions.empty() ? "" : " ") + field_text(c.as_object(), {"type"}) +
                          "=" + field_text(c.as_object(), {"status"});
        }
    }
    return {field_text(resource, {"kind"}),
            field_text(resource, {"metadata", "name"}),
            field_text(resource, {"metadata", "version"}),
            field_text(resource, {"metadata", "generation"}),
            in_force,
            conditions};
}

void describe_fields(std::ostringstream& out, const json::object& fields, const std::string& indent)
{
    for (const json::key_value_pair& field : fields) {
        out << indent << std::string(field.key()) << ":";
        if (field.value().is_object()) {
            out << "\n";
            describe_fields(out, field.value().as_object(), indent + "  ");
            continue;
        }
        if (field.value().is_array()) {
            out << "\n";
            for (const json::value& item : field.value().as_array()) {
                out << indent << "  - " << text_of(item) << "\n";
            }
            continue;
        }
        out << " " << text_of(field.value()) << "\n";
    }
}

} // namespace

std::string to_table(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const std::vector<std::string>& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::ostringstream out;
    for (const std::vector<std::string>& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const std::size_t padding = i + 1 < row.size() ? widths[i] - row[i].size() + 2 : 0;
            out << row[i] << std::string(padding, ' ');
        }
        out << "\n";
    }
    return out.str();
}

std::string to_yaml(const json::value& value)
{
    YAML::Emitter out;
    emit(out, value);
    return std::string(out.c_str()) + "\n";
}

std::string render(const json::value& value, output_format format)
{
    if (format == output_format::json) {
        return json::serialize(value) + "\n";
    }
    if (format == output_format::yaml) {
        return to_yaml(value);
    }
    std::vector<std::vector<std::string>> rows = {
        {"KIND", "NAME", "VERSION", "GENERATION", "IN-FORCE", "CONDITIONS"}};
    const json::value* const items =
        value.is_object() ? value.as_object().if_contains("items") : nullptr;
    if (items != nullptr && items->is_array()) {
        for (const json::value& item : items->as_array()) {
            rows.push_back(row_of(item.as_object()));
        }
    }
    else if (value.is_object()) {
        rows.push_back(row_of(value.as_object()));
    }
    return to_table(rows);
}

std::string describe(const json::object& resource)
{
    std::ostringstream out;
    describe_fields(out, resource, "");
    return out.str();
}

} // namespace currantpitch::ctl
