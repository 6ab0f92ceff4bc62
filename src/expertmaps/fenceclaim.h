#pragma once

#include "core/error.h"
#include "core/identifiers.h"
#include "objectstore/objectstoreconstants.h"
#include "objectstore/storeclient.h"

#include <charconv>
#include <string>

namespace currantpitch::expertmaps {

/// Kind of the objects that hold the highest fence of each group.
inline constexpr std::string_view fence_kind = "MapFence";

namespace internal {

/// Fence and nonce in the object's body, "FENCE NONCE".
inline core::fence fence_in(const std::string& body)
{
    core::fence f;
    std::from_chars(body.data(), body.data() + body.size(), f.value);
    return f;
}

} // namespace internal

/// Highest fence that was claimed for the group; zero when there is none.
template <objectstore::store_client Platform>
core::task<core::result<core::fence>> read_fence(Platform& store, core::service_id group)
{
    const objectstore::object_key key{std::string(fence_kind), group.str()};
    const objectstore::call_context call{"map_fence",
                                         core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> present = co_await store.get(key, call);
    if (!present && present.error().code == core::errc::not_found) {
        co_return core::fence{};
    }
    if (!present) {
        co_return present.error();
    }
    co_return internal::fence_in(present.value().body);
}

/// Claims the next fence of the group by one conditional write. errc::conflict when another agent
/// claimed at the same time; a write whose answer was lost is recognised by the nonce.
template <objectstore::store_client Platform>
core::task<core::result<core::fence>> claim_fence(Platform& store, core::service_id group,
                                                  std::uint64_t nonce)
{
    const objectstore::object_key key{std::string(fence_kind), group.str()};
    const objectstore::call_context read{"map_fence",
                                         core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> present = co_await store.get(key, read);
    if (!present && present.error().code != core::errc::not_found) {
        co_return present.error();
    }
    const core::revision version = present ? present.value().version : core::revision{};
    const core::fence next =
        present ? internal::fence_in(present.value().body).next() : core::fence{1};
    const std::string body = std::to_string(next.value) + " " + std::to_string(nonce);
    const objectstore::call_context write{"map_fence",
                                          core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> written = co_await store.put(key, body, version, write);
    if (written) {
        co_return next;
    }
    if (!objectstore::effect_unknown(written.error())) {
        co_return written.error();
    }
    const objectstore::call_context again{"map_fence",
                                          core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> now = co_await store.get(key, again);
    if (now && now.value().body == body) {
        co_return next;
    }
    co_return written.error();
}

} // namespace currantpitch::expertmaps
