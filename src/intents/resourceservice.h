#pragma once

#include "core/counters.h"
#include "core/eventlog.h"
#include "core/hashing.h"
#include "intents/resource.h"
#include "objectstore/objectstoreconstants.h"

#include <random>

namespace currantpitch::intents {

/// Why a write was not accepted.
struct write_refusal {
    core::error cause;
    /// All findings for errc::invalid_argument.
    core::findings problems;
    /// The present resource for errc::conflict; nothing when there is none.
    std::optional<resource> present;
    /// Fields that changed since the version the writer named, when they are known.
    std::optional<std::vector<std::string>> changed;
};

template <class T>
using write_result =
    boost::outcome_v2::basic_result<T, write_refusal, boost::outcome_v2::policy::terminate>;

/// Accepts operators' writes: validation first, then one conditional write to the platform, which
/// is the moment of acceptance. A write whose answer was lost is recognised by its nonce.
template <objectstore::store_client Platform>
class resource_service {
public:
    resource_service(Platform& store, std::uint64_t seed) : store_(store), random_(seed) {}

    /// Creates the resource, or replaces the version that the draft names.
    core::task<write_result<resource>> apply(resource_draft draft);
    /// Deletes the named version.
    core::task<write_result<core::revision>> remove(resource_kind kind, std::string name,
                                                    std::optional<core::revision> version);
    core::task<core::result<resource>> get(resource_kind kind, std::string name);

private:
    static constexpr int max_reads_after_lost_answer = 3;

    objectstore::call_context call(std::string_view cause) const
    {
        return {cause, core::runtime_clock::now() + objectstore::call_timeout};
    }
    core::task<core::result<std::optional<resource>>> present(objectstore::object_key key);
    core::task<write_result<resource>> settle_lost_write(resource written);

    Platform& store_;
    std::mt19937_64 random_;
};

template <objectstore::store_client Platform>
core::task<core::result<std::optional<resource>>>
resource_service<Platform>::present(objectstore::object_key key)
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

template <objectstore::store_client Platform>
core::task<core::result<resource>> resource_service<Platform>::get(resource_kind kind,
                                                                   std::string name)
{
    const objectstore::object_key key{std::string(to_string(kind)), name};
    core::result<std::optional<resource>> found = co_await present(key);
    if (!found) {
        co_return found.error();
    }
    if (!found.value()) {
        co_return core::error{core::errc::not_found, "no such resource"};
    }
    co_return std::move(*found.value());
}

template <objectstore::store_client Platform>
core::task<write_result<resource>> resource_service<Platform>::apply(resource_draft draft)
{
    if (!operator_writable(draft.kind)) {
        co_return write_refusal{{core::errc::invalid_argument, "the kind is read-only"},
                                {{"kind", "is written by the system only"}},
                                {},
                                {}};
    }
    const objectstore::object_key key{std::string(to_string(draft.kind)), draft.name};
    core::result<std::optional<resource>> now = co_await present(key);
    if (!now) {
        co_return write_refusal{now.error(), {}, {}, {}};
    }
    const core::revision present_version = now.value() ? now.value()->version : core::revision{0};
    if (draft.version.value_or(core::revision{0}) != present_version) {
        write_refusal refusal{{core::errc::conflict, "the resource has another version"},
                              {},
                              now.value(),
                              std::nullopt};
        if (now.value() && draft.version) {
            refusal.changed = changed_since(*now.value(), *draft.version);
        }
        co_return refusal;
    }
    resource next = next_of(draft, now.value(), std::to_string(random_()));
    const core::result<objectstore::object> written =
        co_await store_.put(key, to_body(next), present_version, call("intent_write"));
    if (written) {
        next.version = written.value().version;
        co_return next;
    }
    if (written.error().code == core::errc::conflict) {
        now = co_await present(key);
        co_return write_refusal{written.error(), {}, now ? now.value() : std::nullopt, {}};
    }
    if (!objectstore::effect_unknown(written.error())) {
        co_return write_refusal{written.error(), {}, {}, {}};
    }
    co_return co_await settle_lost_write(std::move(next));
}

template <objectstore::store_client Platform>
core::task<write_result<resource>> resource_service<Platform>::settle_lost_write(resource written)
{
    core::counter_for("intent_writes_with_lost_answer_total").add();
    const objectstore::object_key key = key_of(written);
    for (int i = 0; i < max_reads_after_lost_answer; ++i) {
        core::result<std::optional<resource>> now = co_await present(key);
        if (now && now.value() && now.value()->nonce == written.nonce) {
            co_return std::move(*now.value());
        }
        if (now) {
            // Another writer may have replaced ours, so this does not prove that ours never was.
            co_return write_refusal{{core::errc::timeout, "the outcome of the write is not known"},
                                    {},
                                    std::move(now.value()),
                                    {}};
        }
    }
    co_return write_refusal{
        {core::errc::timeout, "the outcome of the write is not known"}, {}, {}, {}};
}

template <objectstore::store_client Platform>
core::task<write_result<core::revision>>
resource_service<Platform>::remove(resource_kind kind, std::string name,
                                   std::optional<core::revision> version)
{
    const objectstore::object_key key{std::string(to_string(kind)), name};
    if (!operator_writable(kind)) {
        co_return write_refusal{{core::errc::invalid_argument, "the kind is read-only"},
                                {{"kind", "is written by the system only"}},
                                {},
                                {}};
    }
    core::result<std::optional<resource>> now = co_await present(key);
    if (!now) {
        co_return write_refusal{now.error(), {}, {}, {}};
    }
    if (!now.value()) {
        co_return write_refusal{{core::errc::not_found, "no such resource"}, {}, {}, {}};
    }
    if (version != now.value()->version) {
        write_refusal refusal{{core::errc::conflict, "the resource has another version"},
                              {},
                              now.value(),
                              std::nullopt};
        if (version) {
            refusal.changed = changed_since(*now.value(), *version);
        }
        co_return refusal;
    }
    const core::result<objectstore::object> gone =
        co_await store_.remove(key, *version, call("intent_write"));
    if (gone) {
        co_return gone.value().version;
    }
    co_return write_refusal{gone.error(), {}, {}, {}};
}

} // namespace currantpitch::intents
