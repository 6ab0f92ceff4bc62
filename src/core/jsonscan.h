#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace currantpitch::core {

/// Finds the values of one level of a JSON text without parsing them, so that a value that a parser
/// rejects does not make the others unreadable. The depth of the text is not limited. The values
/// are not validated: brackets are counted, whatever their kind.

/// Returns the text of a member's value, or nullopt if the text is not an object with this member.
/// Names with escape sequences are not found.
std::optional<std::string_view> json_member(std::string_view object, std::string_view name);

/// Returns the texts of an array's elements, or nullopt if the text is not an array.
std::optional<std::vector<std::string_view>> json_elements(std::string_view array);

} // namespace currantpitch::core
