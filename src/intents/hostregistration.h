#pragma once

#include "core/hashing.h"
#include "intents/resource.h"
#include "objectstore/objectstoreconstants.h"
#include "objectstore/storeclient.h"

namespace currantpitch::intents {

/// Writes the Host object of this process and replaces that of an earlier incarnation of the host.
/// Returns the platform's error when a call fails. The error is errc::conflict when the object
/// changed between the read and the write.
template <objectstore::store_client Store>
core::task<core::result<void>> register_host(Store& store, core::host_id host, host_spec spec)
{
    resource r;
    r.kind = resource_kind::host;
    r.name = host.str();
    r.generation = 1;
    r.nonce = std::to_string(spec.incarnation.value);
    const objectstore::object_key key = key_of(r);
    const objectstore::call_context read{"host_registration",
                                         core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> current = co_await store.get(key, read);
    core::revision expected;
    if (current) {
        const core::result<resource> registered = from_object(current.value());
        expected = current.value().version;
        r.generation = registered ? registered.value().generation + 1 : 1;
        const spec_report<host_spec> previous =
            registered ? parse_host(registered.value().spec) : spec_report<host_spec>{};
        // An operator's request to leave stays in effect for the same incarnation of the host.
        const bool leave_requested = previous.spec && previous.spec->state == host_state::leaving &&
                                     previous.spec->incarnation == spec.incarnation;
        if (leave_requested) {
            spec.state = host_state::leaving;
        }
    }
    else if (current.error().code != core::errc::not_found) {
        co_return current.error();
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

/// Removes the Host object of this process. Returns errc::stale when another incarnation of the
/// host has registered since.
template <objectstore::store_client Store>
core::task<core::result<void>> unregister_host(Store& store, core::host_id host,
                                               core::incarnation incarnation)
{
    const objectstore::object_key key{std::string(to_string(resource_kind::host)), host.str()};
    const objectstore::call_context read{"host_registration",
                                         core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> current = co_await store.get(key, read);
    if (!current) {
        co_return current.error();
    }
    const core::result<resource> registered = from_object(current.value());
    const spec_report<host_spec> spec =
        registered ? parse_host(registered.value().spec) : spec_report<host_spec>{};
    if (spec.spec && spec.spec->incarnation != incarnation) {
        co_return core::error{core::errc::stale, "another incarnation of the host has registered"};
    }
    const objectstore::call_context write{"host_registration",
                                          core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> removed =
        co_await store.remove(key, current.value().version, write);
    if (!removed) {
        co_return removed.error();
    }
    co_return core::ok();
}

} // namespace currantpitch::intents
