#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace currantpitch::core {

/// 64-bit xxHash of the bytes with the seed.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Hash of a pair of hashes; the order matters.
std::uint64_t combine(std::uint64_t first, std::uint64_t second);

/// 128-bit xxHash as 32 lower-case hexadecimal digits.
std::string digest(std::string_view bytes);

/// Running checksum over the tokens of an answer, in order.
class answer_checksum {
public:
    void add(std::string_view token) { value_ = hash64(token, value_); }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

} // namespace currantpitch::core
