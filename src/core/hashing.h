#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace currantpitch::core {

/// Returns the 64-bit xxHash (XXH3) of the bytes with the seed.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Combines two hashes into one; the order matters.
std::uint64_t combine_hashes(std::uint64_t first, std::uint64_t second);

/// Returns the 128-bit xxHash (XXH3) as 32 lower-case hexadecimal digits.
std::string digest(std::string_view bytes);

/// Incremental checksum over the tokens of an answer, in order.
class answer_checksum {
public:
    void add(std::string_view token) { value_ = hash64(token, value_); }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

} // namespace currantpitch::core
