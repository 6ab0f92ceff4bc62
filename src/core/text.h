#pragma once

#include <string>
#include <vector>

namespace currantpitch::core {

/// Splits a text at the separators. Empty parts are kept, except after the last separator.
std::vector<std::string> split(const std::string& text, char separator);

} // namespace currantpitch::core
