#pragma once

#include "rankcontrol/rankstate.h"

#include <optional>
#include <string>

namespace currantpitch::rankcontrol {

/// Expert counts of one layer in compact form: one byte for each expert, scaled to the largest
/// count, and the sum of the counts. Accurate enough for planning, and small because the link of
/// the leader's host is limited.
struct compact_counts {
    std::string scaled;
    double total = 0;
};
template <class Archive>
void describe(Archive& archive, compact_counts& m)
{
    archive(m.scaled, m.total);
}

compact_counts to_compact(const std::vector<double>& counts);
std::vector<double> from_compact(const compact_counts& counts);

/// Encodes a layout: for each layer and rank, the number of experts followed by the experts. All
/// experts take two bytes when one of them is above 255, one byte otherwise.
std::string to_compact(const layout& experts);
/// Returns std::nullopt when the bytes do not encode a layout.
std::optional<layout> layout_from_compact(const std::string& bytes);

} // namespace currantpitch::rankcontrol
