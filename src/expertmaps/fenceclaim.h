#pragma once

#include "core/error.h"
#include "core/identifiers.h"
#include "objectstore/objectstoreconstants.h"
#include "objectstore/storeclient.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace currantpitch::expertmaps {

/// Kind of the objects that store the highest fence of each group.
inline constexpr std::string_view fence_kind = "MapFence";
/// Number of fences in one era of the store. A fence that a restore has lost belongs to an earlier
/// era than any that is claimed afterwards, so that it is not claimed twice.
inline constexpr std::uint64_t fences_per_era = std::uint64_t{1} << 20;

namespace internal {

/// Parses the fence from an object body of the form "FENCE NONCE"; zero when there is none.
inline core::fence parse_fence(const std::string& body)
{
    core::fence f;
    std::from_chars(body.data(), body.data() + body.size(), f.value);
    return f;
}

inline core::fence first_fence(core::store_era era)
{
    return core::fence{era.value * fences_per_era + 1};
}

} // namespace internal

/// Returns the highest fence that has been claimed for the group, or zero when there is none.
template <objectstore::store_client Store>
core::task<core::result<core::fence>> read_fence(Store& store, std::string group)
{
    const objectstore::object_key key{std::string(fence_kind), std::move(group)};
    const objectstore::call_context call{"map_fence",
                                         core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> stored = co_await store.get(key, call);
    if (!stored && stored.error().code == core::errc::not_found) {
        co_return core::fence{};
    }
    if (!stored) {
        co_return stored.error();
    }
    co_return internal::parse_fence(stored.value().body);
}

/// Claims the next fence of the group, which is above the given one and the fences of earlier eras
/// of the store, by a conditional write. Returns errc::conflict when another agent claimed it
/// concurrently. When the response to the write was lost, the nonce in the object shows whether the
/// write succeeded.
template <objectstore::store_client Store>
core::task<core::result<core::fence>> claim_fence(Store& store, std::string group,
                                                  std::uint64_t nonce, core::fence above = {})
{
    const objectstore::object_key key{std::string(fence_kind), std::move(group)};
    const objectstore::call_context read_call{"map_fence", core::runtime_clock::now() +
                                                               objectstore::call_timeout};
    const core::result<objectstore::object> stored = co_await store.get(key, read_call);
    if (!stored && stored.error().code != core::errc::not_found) {
        co_return stored.error();
    }
    core::revision version = stored ? stored.value().version : core::revision{};
    const core::fence claimed = stored ? internal::parse_fence(stored.value().body) : core::fence{};
    core::fence next_fence = std::max(claimed, above).next();
    while (true) {
        next_fence = std::max(next_fence, internal::first_fence(version.era));
        const std::string body = std::to_string(next_fence.value) + " " + std::to_string(nonce);
        const objectstore::call_context write_call{"map_fence", core::runtime_clock::now() +
                                                                    objectstore::call_timeout};
        core::result<objectstore::object> written =
            co_await store.put(key, body, version, write_call);
        if (!written && objectstore::effect_unknown(written.error())) {
            const objectstore::call_context reread_call{"map_fence", core::runtime_clock::now() +
                                                                         objectstore::call_timeout};
            const core::result<objectstore::object> reread = co_await store.get(key, reread_call);
            if (reread && reread.value().body == body) {
                written = reread;
            }
        }
        if (!written) {
            co_return written.error();
        }
        if (written.value().version.era == version.era) {
            co_return next_fence;
        }
        // A write that creates the object, or that crosses a restore, is the first to show the era.
        version = written.value().version;
        if (next_fence >= internal::first_fence(version.era)) {
            co_return next_fence;
        }
    }
}

} // namespace currantpitch::expertmaps
