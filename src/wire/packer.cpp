#include "wire/packer.h"

#include <array>
#include <msgpuck.h>

namespace currantpitch::wire {

namespace {

// Enough for the longest msgpack header or number.
constexpr std::size_t scalar_bytes = 16;
using scalar_buffer = std::array<char, scalar_bytes>;

void append(std::string& bytes, const scalar_buffer& buffer, const char* end)
{
    bytes.append(buffer.data(), static_cast<std::size_t>(end - buffer.data()));
}

} // namespace

void packer::put_array(std::uint32_t size)
{
    scalar_buffer buffer{};
    append(bytes_, buffer, mp_encode_array(buffer.data(), size));
}

void packer::put(std::string_view text)
{
    scalar_buffer buffer{};
    append(bytes_, buffer, mp_encode_binl(buffer.data(), static_cast<std::uint32_t>(text.size())));
    bytes_.append(text);
}

void packer::put(bool value)
{
    scalar_buffer buffer{};
    append(bytes_, buffer, mp_encode_bool(buffer.data(), value));
}

void packer::put(double value)
{
    scalar_buffer buffer{};
    append(bytes_, buffer, mp_encode_double(buffer.data(), value));
}

void packer::put_unsigned(std::uint64_t value)
{
    scalar_buffer buffer{};
    append(bytes_, buffer, mp_encode_uint(buffer.data(), value));
}

void packer::put_signed(std::int64_t value)
{
    scalar_buffer buffer{};
    char* end = value < 0 ? mp_encode_int(buffer.data(), value)
                          : mp_encode_uint(buffer.data(), static_cast<std::uint64_t>(value));
    append(bytes_, buffer, end);
}

} // namespace currantpitch::wire
