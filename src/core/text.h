#pragma once

#include "core/identifiers.h"

#include <string>
#include <vector>

namespace currantpitch::core {

/// Splits a text at the separators. Empty parts are kept, except after the last separator.
std::vector<std::string> split(const std::string& text, char separator);

/// Joins names with the separator.
template <class Tag>
std::string join(const std::vector<name<Tag>>& names, char separator)
{
    std::string text;
    for (const name<Tag>& n : names) {
        text += (text.empty() ? "" : std::string(1, separator)) + n.str();
    }
    return text;
}

} // namespace currantpitch::core
