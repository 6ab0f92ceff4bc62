#include "intents/catalog.h"

#include "core/counters.h"
#include "core/eventlog.h"

namespace currantpitch::intents {

namespace {

void report_unreadable(const objectstore::object& o, const std::string& reason)
{
    core::counter_for("intent_objects_unreadable_total").add();
    core::log_event("object_unreadable", core::log_event::level::warning)
        .field("kind", o.key.kind)
        .field("name", o.key.name)
        .field("version", o.version)
        .field("reason", reason);
}

template <class Id, class Spec>
void put(std::map<Id, versioned<Spec>>& specs, const objectstore::object& o, const resource& r,
         spec_report<Spec> parsed)
{
    if (!parsed.spec) {
        report_unreadable(o, core::to_text(parsed.problems));
        return;
    }
    specs.insert_or_assign(Id(o.key.name),
                           versioned<Spec>{o.version, r.generation, std::move(*parsed.spec)});
}

} // namespace

void catalog::update(const objectstore::object& o)
{
    ++update_count_;
    const std::optional<resource_kind> kind = kind_from_string(o.key.kind);
    if (!kind) {
        return;
    }
    if (o.deleted) {
        switch (*kind) {
        case resource_kind::model_group:
            model_groups_.erase(core::service_id(o.key.name));
            break;
        case resource_kind::workspace:
            workspaces_.erase(core::workspace_id(o.key.name));
            break;
        case resource_kind::endpoint:
            endpoints_.erase(core::endpoint_id(o.key.name));
            break;
        case resource_kind::host:
            hosts_.erase(core::host_id(o.key.name));
            break;
        case resource_kind::quarantine:
            quarantines_.erase(o.key.name);
            break;
        }
        return;
    }
    const core::result<resource> r = from_object(o);
    if (!r) {
        report_unreadable(o, r.error().detail);
        return;
    }
    switch (*kind) {
    case resource_kind::model_group:
        put(model_groups_, o, r.value(), parse_model_group(r.value().spec));
        break;
    case resource_kind::workspace:
        put(workspaces_, o, r.value(), parse_workspace(r.value().spec));
        break;
    case resource_kind::endpoint:
        put(endpoints_, o, r.value(), parse_endpoint(r.value().spec));
        break;
    case resource_kind::host:
        put(hosts_, o, r.value(), parse_host(r.value().spec));
        break;
    case resource_kind::quarantine:
        put(quarantines_, o, r.value(), parse_quarantine(r.value().spec));
        break;
    }
}

std::vector<core::endpoint_id> catalog::endpoints_of(const core::service_id& service) const
{
    std::vector<core::endpoint_id> found;
    for (const std::pair<const core::endpoint_id, versioned<endpoint_spec>>& entry : endpoints_) {
        if (entry.second.spec.service == service) {
            found.push_back(entry.first);
        }
    }
    return found;
}

std::optional<endpoint_role> catalog::role_of(const core::service_id& service) const
{
    if (model_groups_.contains(service)) {
        return endpoint_role::engine;
    }
    for (const std::pair<const core::endpoint_id, versioned<endpoint_spec>>& entry : endpoints_) {
        if (entry.second.spec.service == service) {
            return entry.second.spec.role;
        }
    }
    return std::nullopt;
}

} // namespace currantpitch::intents
