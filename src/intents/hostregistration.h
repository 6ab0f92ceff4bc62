#pragma once

#include "core/hashing.h"
#include "intents/resource.h"
#include "objectstore/objectstoreconstants.h"
#include "objectstore/storeclient.h"

namespace currantpitch::intents {

/// Writes this process's Host object, over that of an earlier life of the host. Errors are the
/// platform's; errc::stale when another life of the host has taken its place since.
template <objectstore::store_client Platform>
core::task<core::result<void>> register_host(Platform& store, core::host_id host, host_spec spec)
{
    resource r;
    r.kind = resource_kind::host;
    r.name = host.str();
    r.generation = 1;
    r.nonce = std::to_string(spec.incarnation.value);
    const objectstore::object_key key = key_of(r);
    const objectstore::call_context read{"host_registration",
                                         core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> present = co_await store.get(key, read);
    core::revision expected;
    if (present) {
        const core::result<resource> known = from_object(present.value());
        expected = present.value().version;
        r.generation = known ? known.value().generation + 1 : 1;
        const spec_report<host_spec> before =
            known ? parse_host(known.value().spec) : spec_report<host_spec>{};
        // An operator's request to leave applies to this incarnation of the host.
        const bool leave_requested = before.spec && before.spec->state == host_state::leaving &&
                                     before.spec->incarnation == spec.incarnation;
        if (leave_requested) {
            spec.state = host_state::leaving;
        }
    }
    else if (present.error().code != core::errc::not_found) {
        co_return present.error();
    }
    r.spec = to_json(spec);
    const objectstore::call_context write{"host_registration",
                                          core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> written =
        co_await store.put(key, to_body(r), expected, write);
    if (!written) {
        co_return written.error();
    }
    co_return core::ok();
}

/// Removes this process's Host object, unless another life of the host has written its own.
template <objectstore::store_client Platform>
core::task<core::result<void>> unregister_host(Platform& store, core::host_id host,
                                               core::incarnation life)
{
    const objectstore::object_key key{std::string(to_string(resource_kind::host)), host.str()};
    const objectstore::call_context read{"host_registration",
                                         core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> present = co_await store.get(key, read);
    if (!present) {
        co_return present.error();
    }
    const core::result<resource> known = from_object(present.value());
    const spec_report<host_spec> spec =
        known ? parse_host(known.value().spec) : spec_report<host_spec>{};
    if (spec.spec && spec.spec->incarnation != life) {
        co_return core::error{core::errc::stale, "another life of the host has registered"};
    }
    const objectstore::call_context write{"host_registration",
                                          core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> gone =
        co_await store.remove(key, present.value().version, write);
    if (!gone) {
        co_return gone.error();
    }
    co_return core::ok();
}

} // namespace currantpitch::intents
