#include "rankcontrol/compactform.h"

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

} // namespace currantpitch::rankcontrol
