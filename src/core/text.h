#pragma once

#include <string>
#include <vector>

namespace currantpitch::core {

/// Parts of a text between separators; empty parts count, except after the last separator.
std::vector<std::string> split(const std::string& text, char separator);

} // namespace currantpitch::core
