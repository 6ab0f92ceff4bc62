#pragma once

#include "rankcontrol/rankstate.h"

#include <optional>
#include <string>

namespace currantpitch::rankcontrol {

/// Counts of one layer in a byte for each expert, relative to the largest, and their sum. Enough
/// for planning, and small on the wire of the leader's host.
struct compact_counts {
    std::string parts;
    double total = 0;
};
template <class Archive>
void describe(Archive& archive, compact_counts& m)
{
    archive(m.parts, m.total);
}

compact_counts to_compact(const std::vector<double>& counts);
std::vector<double> from_compact(const compact_counts& counts);

/// A layout as bytes: for each layer and rank the number of experts and the experts. Numbers of
/// experts beyond 255 take two bytes each.
std::string to_compact(const layout& experts);
/// Nothing for bytes that are no layout.
std::optional<layout> layout_from_compact(const std::string& bytes);

} // namespace currantpitch::rankcontrol
