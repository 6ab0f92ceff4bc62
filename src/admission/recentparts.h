#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <optional>
#include <unordered_map>

namespace currantpitch::admission {

/// Times of the last progress of the parts that were in use recently. Bounded: when
/// max_recent_parts are recorded, those that were not in use since the last time this happened are
/// forgotten.
class recent_parts {
public:
    void record(const core::prompt_part_id& part, core::time_point at);
    std::optional<core::time_point> find(const core::prompt_part_id& part) const;

private:
    std::unordered_map<core::prompt_part_id, core::time_point> newer_;
    std::unordered_map<core::prompt_part_id, core::time_point> older_;
};

} // namespace currantpitch::admission
