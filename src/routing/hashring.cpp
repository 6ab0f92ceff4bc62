#include "routing/hashring.h"

#include "core/hashing.h"
#include "routing/routingconstants.h"

#include <algorithm>

namespace currantpitch::routing {

void hash_ring::add(std::size_t index, std::string_view name)
{
    for (std::size_t i = 0; i < points_per_endpoint; ++i) {
        points_.push_back({core::hash64(name, i + 1), index});
    }
    std::sort(points_.begin(), points_.end(),
              [](const point& a, const point& b) { return a.position < b.position; });
}

void hash_ring::remove(std::size_t index)
{
    std::erase_if(points_, [index](const point& p) { return p.index == index; });
}

std::optional<std::size_t> hash_ring::find(std::uint64_t key) const
{
    if (points_.empty()) {
        return std::nullopt;
    }
    const auto successor =
        std::lower_bound(points_.begin(), points_.end(), key,
                         [](const point& p, std::uint64_t k) { return p.position < k; });
    return successor == points_.end() ? points_.front().index : successor->index;
}

} // namespace currantpitch::routing
