#include "intents/internal/fieldpaths.h"

namespace currantpitch::intents {

namespace json = boost::json;

std::vector<std::string> changed_fields(const json::object& before, const json::object& after,
                                        const std::string& path)
{
    std::vector<std::string> changed;
    for (const json::key_value_pair& entry : after) {
        const json::value* const old_value = before.if_contains(entry.key());
        if (old_value == nullptr || *old_value != entry.value()) {
            changed.push_back(path + std::string(entry.key()));
        }
    }
    for (const json::key_value_pair& entry : before) {
        if (!after.contains(entry.key())) {
            changed.push_back(path + std::string(entry.key()));
        }
    }
    return changed;
}

} // namespace currantpitch::intents
