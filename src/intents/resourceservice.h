#pragma once

#include "core/counters.h"
#include "core/eventlog.h"
#include "core/hashing.h"
#include "intents/resource.h"
#include "objectstore/objectstoreconstants.h"

#include <random>

namespace currantpitch::intents {

/// Reason and details of a rejected write.
struct write_refusal {
    core::error cause;
    /// All findings for errc::invalid_argument.
    core::findings problems;
    /// The current resource for errc::conflict; nothing when there is none.
    std::optional<resource> current;
    /// Fields that changed since the version given by the writer, when they are known.
    std::optional<std::vector<std::string>> changed;
};

template <class T>
using write_result =
    boost::outcome_v2::basic_result<T, write_refusal, boost::outcome_v2::policy::terminate>;

/// Processes the writes of operators. A write is accepted when its conditional write to the
/// platform succeeds. A write whose response was lost is recognised by its nonce.
template <objectstore::store_client Store>
class resource_service {
public:
    resource_service(Store& store, std::uint64_t seed) : store_(store), random_(seed) {}

    /// Creates the resource, or replaces the version given in the draft.
    core::task<write_result<resource>> apply(resource_draft draft);
    /// Deletes the resource if it has the given version.
    core::task<write_result<core::revision>> remove(resource_kind kind, std::string name,
                                                    std::optional<core::revision> version);
    core::task<core::result<resource>> get(resource_kind kind, std::string name);

private:
    static constexpr int max_reads_after_lost_response = 3;

    objectstore::call_context call(std::string_view cause) const
    {
        return {cause, core::runtime_clock::now() + objectstore::call_timeout};
    }
    core::task<core::result<std::optional<resource>>> read_current(objectstore::object_key key);
    core::task<write_result<resource>> resolve_unconfirmed_write(resource written);

    Store& store_;
    std::mt19937_64 random_;
};

template <objectstore::store_client Store>
core::task<core::result<std::optional<resource>>>
resource_service<Store>::read_current(objectstore::object_key key)
{
    const core::result<objectstore::object> found = co_await store_.get(key, call("intent_read"));
    if (!found && found.error().code == core::errc::not_found) {
        co_return std::optional<resource>();
    }
    if (!found) {
        co_return found.error();
    }
    core::result<resource> r = from_object(found.value());
    if (!r) {
        co_return r.error();
    }
    co_return std::optional<resource>(std::move(r.value()));
}

template <objectstore::store_client Store>
core::task<core::result<resource>> resource_service<Store>::get(resource_kind kind,
                                                                std::string name)
{
    const objectstore::object_key key{std::string(to_string(kind)), name};
    core::result<std::optional<resource>> found = co_await read_current(key);
    if (!found) {
        co_return found.error();
    }
    if (!found.value()) {
        co_return core::error{core::errc::not_found, "no such resource"};
    }
    co_return std::move(*found.value());
}

template <objectstore::store_client Store>
core::task<write_result<resource>> resource_service<Store>::apply(resource_draft draft)
{
    if (!operator_writable(draft.kind)) {
        co_return write_refusal{{core::errc::invalid_argument, "the kind is read-only"},
                                {{"kind", "is written by the system only"}},
                                {},
                                {}};
    }
    const objectstore::object_key key{std::string(to_string(draft.kind)), draft.name};
    core::result<std::optional<resource>> current = co_await read_current(key);
    if (!current) {
        co_return write_refusal{current.error(), {}, {}, {}};
    }
    const core::revision current_version =
        current.value() ? current.value()->version : core::revision{0};
    if (draft.version.value_or(core::revision{0}) != current_version) {
        write_refusal refusal{{core::errc::conflict, "the resource has another version"},
                              {},
                              current.value(),
                              std::nullopt};
        if (current.value() && draft.version) {
            refusal.changed = fields_changed_since(*current.value(), *draft.version);
        }
        co_return refusal;
    }
    resource next = resource_from_draft(draft, current.value(), std::to_string(random_()));
    const core::result<objectstore::object> written =
        co_await store_.put(key, to_body(next), current_version, call("intent_write"));
    if (written) {
        next.version = written.value().version;
        co_return next;
    }
    if (written.error().code == core::errc::conflict) {
        current = co_await read_current(key);
        co_return write_refusal{written.error(), {}, current ? current.value() : std::nullopt, {}};
    }
    if (!objectstore::effect_unknown(written.error())) {
        co_return write_refusal{written.error(), {}, {}, {}};
    }
    co_return co_await resolve_unconfirmed_write(std::move(next));
}

template <objectstore::store_client Store>
core::task<write_result<resource>>
resource_service<Store>::resolve_unconfirmed_write(resource written)
{
    core::counter_for("intent_writes_with_lost_answer_total").add();
    const objectstore::object_key key = key_of(written);
    for (int i = 0; i < max_reads_after_lost_response; ++i) {
        core::result<std::optional<resource>> current = co_await read_current(key);
        if (current && current.value() && current.value()->nonce == written.nonce) {
            co_return std::move(*current.value());
        }
        if (current) {
            // Another writer may have replaced the written version since. A different nonce does
            // not prove that the write had no effect.
            co_return write_refusal{{core::errc::timeout, "the outcome of the write is not known"},
                                    {},
                                    std::move(current.value()),
                                    {}};
        }
    }
    co_return write_refusal{
        {core::errc::timeout, "the outcome of the write is not known"}, {}, {}, {}};
}

template <objectstore::store_client Store>
core::task<write_result<core::revision>>
resource_service<Store>::remove(resource_kind kind, std::string name,
                                std::optional<core::revision> version)
{
    const objectstore::object_key key{std::string(to_string(kind)), name};
    if (!operator_writable(kind)) {
        co_return write_refusal{{core::errc::invalid_argument, "the kind is read-only"},
                                {{"kind", "is written by the system only"}},
                                {},
                                {}};
    }
    core::result<std::optional<resource>> current = co_await read_current(key);
    if (!current) {
        co_return write_refusal{current.error(), {}, {}, {}};
    }
    if (!current.value()) {
        co_return write_refusal{{core::errc::not_found, "no such resource"}, {}, {}, {}};
    }
    if (version != current.value()->version) {
        write_refusal refusal{{core::errc::conflict, "the resource has another version"},
                              {},
                              current.value(),
                              std::nullopt};
        if (version) {
            refusal.changed = fields_changed_since(*current.value(), *version);
        }
        co_return refusal;
    }
    const core::result<objectstore::object> removed =
        co_await store_.remove(key, *version, call("intent_write"));
    if (removed) {
        co_return removed.value().version;
    }
    co_return write_refusal{removed.error(), {}, {}, {}};
}

} // namespace currantpitch::intents
