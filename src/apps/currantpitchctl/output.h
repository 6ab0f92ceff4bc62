#pragma once

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace currantpitch::ctl {

enum class output_format { table, json, yaml };

/// Formats rows, the first of which is the header, in columns aligned to the widest cell.
std::string to_table(const std::vector<std::vector<std::string>>& rows);
/// Formats the value as YAML.
std::string to_yaml(const boost::json::value& value);
/// Formats the value. The table format supports a resource or a list of resources.
std::string render(const boost::json::value& value, output_format format);
/// Formats all fields of a resource, including its conditions.
std::string describe(const boost::json::object& resource);

} // namespace currantpitch::ctl
