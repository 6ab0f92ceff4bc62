#pragma once

#include <string>
#include <vector>

namespace currantpitch::core {

/// One thing wrong with an input, and where: "file:line:column" or a field path.
struct finding {
    std::string place;
    std::string message;

    friend bool operator==(const finding&, const finding&) = default;
};

/// Everything wrong with an input. Empty means the input is accepted.
using findings = std::vector<finding>;

/// One line for each finding, "place: message".
std::string to_text(const findings& list);

} // namespace currantpitch::core
