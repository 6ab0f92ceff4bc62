#include "wire/unpacker.h"

#include <msgpuck.h>

namespace currantpitch::wire {

unpacker::unpacker(std::string_view bytes) : position_(bytes.data())
{
    const char* cursor = bytes.data();
    const char* const end = bytes.data() + bytes.size();
    good_ = !bytes.empty() && mp_check(&cursor, end) == 0 && cursor == end;
}

bool unpacker::expect(int msgpack_type)
{
    // The type is checked before each read, so that a read never passes the end of the value that
    // mp_check has verified. The caller of get_array checks the size of the outer array.
    if (good_ && mp_typeof(*position_) != msgpack_type) {
        good_ = false;
    }
    return good_;
}

std::uint32_t unpacker::get_array()
{
    return expect(MP_ARRAY) ? mp_decode_array(&position_) : 0;
}

void unpacker::get(std::string& text)
{
    if (!expect(MP_BIN)) {
        return;
    }
    std::uint32_t size = 0;
    const char* bytes = mp_decode_bin(&position_, &size);
    text.assign(bytes, size);
}

void unpacker::get(bool& value)
{
    if (expect(MP_BOOL)) {
        value = mp_decode_bool(&position_);
    }
}

void unpacker::get(double& value)
{
    if (expect(MP_DOUBLE)) {
        value = mp_decode_double(&position_);
    }
}

void unpacker::get_unsigned(std::uint64_t& value)
{
    if (expect(MP_UINT)) {
        value = mp_decode_uint(&position_);
    }
}

void unpacker::get_signed(std::int64_t& value)
{
    if (!good_) {
        return;
    }
    if (mp_typeof(*position_) == MP_INT) {
        value = mp_decode_int(&position_);
        return;
    }
    std::uint64_t wide = 0;
    get_unsigned(wide);
    if (wide > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
        good_ = false;
        return;
    }
    value = static_cast<std::int64_t>(wide);
}

core::result<std::uint8_t> message_type(std::string_view payload)
{
    unpacker u(payload);
    std::uint8_t type = 0;
    if (u.get_array() != 2) {
        return core::error{core::errc::malformed, "not a message"};
    }
    u.get(type);
    if (!u.good()) {
        return core::error{core::errc::malformed, "no message type"};
    }
    return type;
}

} // namespace currantpitch::wire
