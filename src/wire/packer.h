#pragma once

#include "core/identifiers.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace currantpitch::wire {

/// Encodes values as msgpack. A message type lists its fields in one function,
///     template <class Archive> void describe(Archive& archive, Message& m);
/// for both the packer and the unpacker. A message is encoded as an array of its fields.
class packer {
public:
    template <class... Fields>
    void operator()(const Fields&... fields)
    {
        put_array(sizeof...(Fields));
        (put(fields), ...);
    }

    std::string take() { return std::move(bytes_); }

    void put_array(std::uint32_t size);
    void put(std::string_view text);
    void put(const std::string& text) { put(std::string_view(text)); }
    void put(bool value);
    void put(double value);
    void put_unsigned(std::uint64_t value);
    void put_signed(std::int64_t value);

    template <std::unsigned_integral T>
    requires(!std::same_as<T, bool>) void put(T value) { put_unsigned(value); }
    template <class E>
    requires std::is_enum_v<E>
    void put(E value) { put_unsigned(static_cast<std::uint64_t>(value)); }
    template <class Tag>
    void put(const core::name<Tag>& n)
    {
        put(std::string_view(n.str()));
    }
    template <class Tag>
    void put(const core::number<Tag>& n)
    {
        put_unsigned(n.value);
    }
    void put(const core::revision& r)
    {
        put_array(2);
        put_unsigned(r.value);
        put(r.era);
    }
    template <class Rep, class Period>
    void put(const std::chrono::duration<Rep, Period>& d)
    {
        put_signed(std::chrono::duration_cast<std::chrono::nanoseconds>(d).count());
    }
    void put(std::chrono::sys_time<std::chrono::milliseconds> t)
    {
        put_signed(t.time_since_epoch().count());
    }
    template <class T>
    void put(const std::optional<T>& value)
    {
        put_array(value ? 1 : 0);
        if (value) {
            put(*value);
        }
    }
    template <class T>
    void put(const std::vector<T>& values)
    {
        put_array(static_cast<std::uint32_t>(values.size()));
        for (const T& value : values) {
            put(value);
        }
    }
    template <class T>
    requires requires(packer& p, T& m) { describe(p, m); }
    void put(const T& message)
    {
        // describe takes a mutable message because the unpacker writes to it; the packer only
        // reads.
        describe(*this, const_cast<T&>(message));
    }

private:
    std::string bytes_;
};

/// Payload of a frame: the message's type number and its fields.
template <class Message>
std::string encode(const Message& message)
{
    packer p;
    p.put_array(2);
    p.put(Message::type);
    p.put(message);
    return p.take();
}

} // namespace currantpitch::wire
