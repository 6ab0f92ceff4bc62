#pragma once

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace currantpitch::ctl {

enum class output_format { table, json, yaml };

/// Rows under a head, in columns as wide as needed.
std::string to_table(const std::vector<std::vector<std::string>>& rows);
/// The value as YAML.
std::string to_yaml(const boost::json::value& value);
/// The value in the format; table prints a resource or a list of resources.
std::string render(const boost::json::value& value, output_format format);
/// A resource field by field, with its conditions.
std::string describe(const boost::json::object& resource);

} // namespace currantpitch::ctl
