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

/// Encodes the differences of a layout to another one of the same layers and ranks: for each list
/// of experts that differs, its layer and rank, the positions of the experts that are removed, and
/// the experts that are appended.
std::string to_difference(const layout& base, const layout& experts);
/// Hash by which a member checks that it has decoded the layout that the leader sent.
std::uint64_t layout_hash(const layout& experts);
/// Applies the differences. Returns std::nullopt when the bytes do not encode differences to this
/// layout.
std::optional<layout> apply_difference(const layout& base, const std::string& bytes);

} // namespace currantpitch::rankcontrol
