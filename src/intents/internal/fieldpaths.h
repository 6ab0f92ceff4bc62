#pragma once

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace currantpitch::intents {

/// Paths of the fields whose values differ between two objects, such as "spec.share".
std::vector<std::string> changed_fields(const boost::json::object& before,
                                        const boost::json::object& after, const std::string& path);

} // namespace currantpitch::intents
