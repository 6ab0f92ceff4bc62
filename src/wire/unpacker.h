#pragma once

#include "core/error.h"
#include "core/identifiers.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace currantpitch::wire {

/// Decodes values written by the packer. The first value of an unexpected type, size or range
/// marks the whole input as invalid; later reads consume nothing.
class unpacker {
public:
    /// Checks that the bytes are exactly one well-formed msgpack value.
    explicit unpacker(std::string_view bytes);

    bool good() const { return good_; }

    template <class... Fields>
    void operator()(Fields&... fields)
    {
        if (get_array() != sizeof...(Fields)) {
            good_ = false;
        }
        (get(fields), ...);
    }

    /// Reads an array header and returns the size of the array; 0 when the input is invalid.
    std::uint32_t get_array();
    void get(std::string& text);
    void get(bool& value);
    void get(double& value);
    void get_unsigned(std::uint64_t& value);
    void get_signed(std::int64_t& value);

    template <std::unsigned_integral T>
    requires(!std::same_as<T, bool>) void get(T& value)
    {
        std::uint64_t wide = 0;
        get_unsigned(wide);
        if (wide > std::numeric_limits<T>::max()) {
            good_ = false;
            return;
        }
        value = static_cast<T>(wide);
    }
    /// Enumerations have a member named last that equals their highest valid value.
    template <class E>
    requires std::is_enum_v<E>
    void get(E& value)
    {
        std::uint64_t wide = 0;
        get_unsigned(wide);
        if (wide > static_cast<std::uint64_t>(E::last)) {
            good_ = false;
            return;
        }
        value = static_cast<E>(wide);
    }
    template <class Tag>
    void get(core::name<Tag>& n)
    {
        std::string text;
        get(text);
        n = core::name<Tag>(std::move(text));
    }
    template <class Tag>
    void get(core::number<Tag>& n)
    {
        get_unsigned(n.value);
    }
    void get(core::revision& r)
    {
        if (get_array() != 2) {
            good_ = false;
        }
        get_unsigned(r.value);
        get(r.era);
    }
    template <class Rep, class Period>
    void get(std::chrono::duration<Rep, Period>& d)
    {
        std::int64_t count = 0;
        get_signed(count);
        d = std::chrono::duration_cast<std::chrono::duration<Rep, Period>>(
            std::chrono::nanoseconds(count));
    }
    void get(std::chrono::sys_time<std::chrono::milliseconds>& t)
    {
        std::int64_t count = 0;
        get_signed(count);
        t = std::chrono::sys_time<std::chrono::milliseconds>(std::chrono::milliseconds(count));
    }
    template <class T>
    void get(std::optional<T>& value)
    {
        const std::uint32_t size = get_array();
        if (size > 1) {
            good_ = false;
        }
        if (good_ && size == 1) {
            get(value.emplace());
        }
    }
    template <class T>
    void get(std::vector<T>& values)
    {
        const std::uint32_t size = get_array();
        for (std::uint32_t i = 0; good_ && i < size; ++i) {
            get(values.emplace_back());
        }
    }
    template <class T>
    requires requires(unpacker& u, T& m) { describe(u, m); }
    void get(T& message) { describe(*this, message); }

private:
    bool expect(int msgpack_type);

    const char* position_ = nullptr;
    bool good_ = false;
};

/// Type number of the message in a frame's payload; errc::malformed when there is no message.
core::result<std::uint8_t> message_type(std::string_view payload);

/// Decodes the message in a frame's payload; errc::malformed when it has another type or is
/// invalid.
template <class Message>
core::result<Message> decode(std::string_view payload)
{
    unpacker u(payload);
    Message message{};
    std::uint8_t type = 0;
    if (u.get_array() != 2) {
        return core::error{core::errc::malformed, "not a message"};
    }
    u.get(type);
    if (type == Message::type) {
        u.get(message);
    }
    if (!u.good() || type != Message::type) {
        return core::error{core::errc::malformed, "message does not fit its type"};
    }
    return message;
}

} // namespace currantpitch::wire
