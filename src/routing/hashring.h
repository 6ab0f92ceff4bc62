#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace currantpitch::routing {

/// Consistent hash ring that maps keys to indices. A key keeps its index as long as that index is
/// on the ring and no closer point is added.
class hash_ring {
public:
    /// Adds points_per_endpoint points for the index, at positions derived from the name.
    void add(std::size_t index, std::string_view name);
    void remove(std::size_t index);
    /// Returns the index of the first point at or after the key, wrapping around at the end of the
    /// ring. Returns nullopt when the ring is empty.
    std::optional<std::size_t> find(std::uint64_t key) const;
    bool empty() const { return points_.empty(); }

private:
    struct point {
        std::uint64_t position = 0;
        std::size_t index = 0;
    };
    std::vector<point> points_;
};

} // namespace currantpitch::routing
