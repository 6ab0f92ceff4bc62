#include "core/hashing.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace currantpitch::core {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t combine_hashes(std::uint64_t first, std::uint64_t second)
{
    const std::uint64_t both[2] = {first, second};
    return XXH3_64bits(both, sizeof both);
}

std::string digest(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return std::string(text.data());
}

} // namespace currantpitch::core
