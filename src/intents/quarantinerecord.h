#pragma once

#include "intents/resource.h"
#include "objectstore/objectstoreconstants.h"
#include "objectstore/storeclient.h"

namespace currantpitch::intents {

inline objectstore::object_key quarantine_key(const std::string& fingerprint)
{
    return {std::string(to_string(resource_kind::quarantine)), fingerprint};
}

/// Writes a Quarantine object unless another entry has written it before. Returns the platform's
/// error when the call fails.
template <objectstore::store_client Store>
core::task<core::result<void>> write_quarantine(Store& store, quarantine_spec spec,
                                                std::string nonce)
{
    resource r;
    r.kind = resource_kind::quarantine;
    r.name = spec.fingerprint;
    r.generation = 1;
    r.nonce = std::move(nonce);
    r.spec = to_json(spec);
    const objectstore::call_context call{"quarantine",
                                         core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> written =
        co_await store.put(key_of(r), to_body(r), core::revision{}, call);
    if (!written && written.error().code != core::errc::conflict) {
        co_return written.error();
    }
    co_return core::ok();
}

/// Removes a Quarantine object if it is there. Returns the platform's error when a call fails.
template <objectstore::store_client Store>
core::task<core::result<void>> remove_quarantine(Store& store, std::string fingerprint)
{
    const objectstore::object_key key = quarantine_key(fingerprint);
    const objectstore::call_context read{"quarantine",
                                         core::runtime_clock::now() + objectstore::call_timeout};
    core::result<objectstore::object> result = co_await store.get(key, read);
    if (result) {
        const objectstore::call_context write{"quarantine", core::runtime_clock::now() +
                                                                objectstore::call_timeout};
        result = co_await store.remove(key, result.value().version, write);
    }
    if (!result && result.error().code != core::errc::not_found) {
        co_return result.error();
    }
    co_return core::ok();
}

} // namespace currantpitch::intents
