#pragma once

#include <string>
#include <vector>

namespace currantpitch::core {

/// A problem in an input and its location, either "file:line:column" or a field path.
struct finding {
    std::string location;
    std::string message;

    friend bool operator==(const finding&, const finding&) = default;
};

/// All problems in an input. An input without findings is accepted.
using findings = std::vector<finding>;

/// Formats the findings as lines of "location: message".
std::string to_text(const findings& list);

} // namespace currantpitch::core
