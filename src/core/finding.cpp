#include "core/finding.h"

namespace currantpitch::core {

std::string to_text(const findings& list)
{
    std::string text;
    for (const finding& f : list) {
        text += f.location + ": " + f.message + "\n";
    }
    return text;
}

} // namespace currantpitch::core
