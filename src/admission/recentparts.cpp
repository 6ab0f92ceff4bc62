#include "admission/recentparts.h"

#include "admission/admissionconstants.h"

#include <algorithm>

namespace currantpitch::admission {

void recent_parts::record(const core::prompt_part_id& part, core::time_point at)
{
    const std::optional<core::time_point> known = find(part);
    if (!newer_.contains(part) && newer_.size() >= max_recent_parts / 2) {
        older_ = std::move(newer_);
        newer_.clear();
    }
    newer_[part] = known ? std::max(*known, at) : at;
}

std::optional<core::time_point> recent_parts::find(const core::prompt_part_id& part) const
{
    for (const std::unordered_map<core::prompt_part_id, core::time_point>* table :
         {&newer_, &older_}) {
        const auto found = table->find(part);
        if (found != table->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace currantpitch::admission
