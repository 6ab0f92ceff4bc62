#include "rankcontrol/compactform.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace currantpitch::rankcontrol {

namespace {

constexpr double max_scaled_count = 255;

void append_uint16(std::string& bytes, std::uint16_t value)
{
    bytes += static_cast<char>(value >> 8);
    bytes += static_cast<char>(value & 0xff);
}

/// Reads big-endian integers of one or two bytes. Sets ok to false when a read exceeds the input.
struct byte_reader {
    const std::string& bytes;
    std::size_t offset = 0;
    bool ok = true;

    std::uint16_t next(std::size_t width)
    {
        if (offset + width > bytes.size()) {
            ok = false;
            return 0;
        }
        std::uint16_t value = 0;
        for (std::size_t i = 0; i < width; ++i) {
            value = static_cast<std::uint16_t>(value << 8 |
                                               static_cast<unsigned char>(bytes[offset++]));
        }
        return value;
    }
};

} // namespace

compact_counts to_compact(const std::vector<double>& counts)
{
    compact_counts compact;
    const double max_count = counts.empty() ? 0 : *std::max_element(counts.begin(), counts.end());
    compact.total = std::accumulate(counts.begin(), counts.end(), 0.0);
    for (const double c : counts) {
        const double scaled = max_count > 0 ? std::round(c / max_count * max_scaled_count) : 0;
        compact.scaled += static_cast<char>(static_cast<unsigned char>(scaled));
    }
    return compact;
}

std::vector<double> from_compact(const compact_counts& counts)
{
    std::vector<double> scaled;
    double sum = 0;
    for (const char c : counts.scaled) {
        scaled.push_back(static_cast<double>(static_cast<unsigned char>(c)));
        sum += scaled.back();
    }
    for (double& p : scaled) {
        p = sum > 0 && std::isfinite(counts.total) ? p / sum * std::max(counts.total, 0.0) : 0;
    }
    return scaled;
}

std::string to_compact(const layout& experts)
{
    expert max_expert = 0;
    for (const layer_layout& layer : experts) {
        for (const std::vector<expert>& held : layer) {
            for (const expert e : held) {
                max_expert = std::max(max_expert, e);
            }
        }
    }
    const std::size_t width = max_expert > 0xff ? 2 : 1;
    std::string bytes;
    bytes += static_cast<char>(width);
    append_uint16(bytes, static_cast<std::uint16_t>(experts.size()));
    append_uint16(bytes, static_cast<std::uint16_t>(experts.empty() ? 0 : experts.front().size()));
    for (const layer_layout& layer : experts) {
        for (const std::vector<expert>& held : layer) {
            bytes += static_cast<char>(held.size());
            for (const expert e : held) {
                if (width == 2) {
                    append_uint16(bytes, e);
                }
                else {
                    bytes += static_cast<char>(e);
                }
            }
        }
    }
    return bytes;
}

std::optional<layout> layout_from_compact(const std::string& bytes)
{
    byte_reader reader{bytes};
    const std::size_t width = reader.next(1);
    const std::size_t layers = reader.next(2);
    const std::size_t ranks = reader.next(2);
    if (!reader.ok || width < 1 || width > 2 || layers * ranks > bytes.size()) {
        return std::nullopt;
    }
    layout experts(layers, layer_layout(ranks));
    for (layer_layout& layer : experts) {
        for (std::vector<expert>& held : layer) {
            const std::size_t count = reader.next(1);
            for (std::size_t i = 0; i < count && reader.ok; ++i) {
                held.push_back(reader.next(width));
            }
        }
    }
    if (!reader.ok || reader.offset != bytes.size()) {
        return std::nullopt;
    }
    return experts;
}

namespace {

/// Positions in the list of the experts that the other list lacks. All of them when the other list
/// does not begin with the remaining ones in the same order.
std::vector<std::size_t> removed_positions(const std::vector<expert>& before,
                                           const std::vector<expert>& after)
{
    std::vector<std::size_t> removed;
    std::vector<expert> kept;
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (std::find(after.begin(), after.end(), before[i]) == after.end()) {
            removed.push_back(i);
        }
        else {
            kept.push_back(before[i]);
        }
    }
    const bool is_prefix =
        kept.size() <= after.size() && std::equal(kept.begin(), kept.end(), after.begin());
    if (!is_prefix) {
        removed.resize(before.size());
        std::iota(removed.begin(), removed.end(), std::size_t{0});
    }
    return removed;
}

} // namespace

std::string to_difference(const layout& base, const layout& experts)
{
    std::string bytes;
    for (std::size_t layer = 0; layer < experts.size(); ++layer) {
        for (std::size_t rank = 0; rank < experts[layer].size(); ++rank) {
            const std::vector<expert>& before = base[layer][rank];
            const std::vector<expert>& after = experts[layer][rank];
            if (before == after) {
                continue;
            }
            const std::vector<std::size_t> removed = removed_positions(before, after);
            const std::size_t kept = before.size() - removed.size();
            append_uint16(bytes, static_cast<std::uint16_t>(layer));
            append_uint16(bytes, static_cast<std::uint16_t>(rank));
            bytes += static_cast<char>(removed.size());
            bytes += static_cast<char>(after.size() - kept);
            for (const std::size_t position : removed) {
                bytes += static_cast<char>(position);
            }
            for (std::size_t i = kept; i < after.size(); ++i) {
                append_uint16(bytes, after[i]);
            }
        }
    }
    return bytes;
}

std::optional<layout> apply_difference(const layout& base, const std::string& bytes)
{
    layout experts = base;
    byte_reader reader{bytes};
    while (reader.ok && reader.offset < bytes.size()) {
        const std::size_t layer = reader.next(2);
        const std::size_t rank = reader.next(2);
        const std::size_t removed = reader.next(1);
        const std::size_t added = reader.next(1);
        if (!reader.ok || layer >= experts.size() || rank >= experts[layer].size()) {
            return std::nullopt;
        }
        std::vector<expert>& held = experts[layer][rank];
        std::size_t already_removed = 0;
        for (std::size_t i = 0; i < removed; ++i) {
            const std::size_t position = reader.next(1);
            // Positions refer to the list before the change, in increasing order.
            if (!reader.ok || position < already_removed ||
                position - already_removed >= held.size()) {
                return std::nullopt;
            }
            held.erase(held.begin() + static_cast<long>(position - already_removed));
            ++already_removed;
        }
        for (std::size_t i = 0; i < added && reader.ok; ++i) {
            held.push_back(reader.next(2));
        }
    }
    return reader.ok ? std::optional<layout>(std::move(experts)) : std::nullopt;
}

std::uint64_t layout_hash(const layout& experts)
{
    return core::hash64(to_compact(experts));
}

} // namespace currantpitch::rankcontrol
