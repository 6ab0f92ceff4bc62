#include "entry/resourceapi.h"

#include "core/eventlog.h"
#include "core/text.h"
#include "entry/entryconstants.h"
#include "entry/internal/answerjson.h"
#include "objectstore/objectstoreconstants.h"

namespace currantpitch::entry {

namespace json = boost::json;
using intents::resource;
using intents::resource_kind;

namespace {

constexpr std::string_view api_path_prefix = "/api/v1/";

std::optional<core::revision> version_in(const http::request& received)
{
    const std::optional<std::string> text = received.query("version");
    if (!text) {
        return std::nullopt;
    }
    return core::revision{std::strtoull(text->c_str(), nullptr, 10)};
}

http::response json_answer(unsigned status, const json::value& body)
{
    http::response answer;
    answer.status = status;
    answer.body = json::serialize(body);
    return answer;
}

http::response error_answer(unsigned status, const core::error& e)
{
    return json_answer(status,
                       json::object{{"error", core::to_string(e.code)}, {"detail", e.detail}});
}

http::response refusal_answer(const intents::write_refusal& refusal)
{
    switch (refusal.cause.code) {
    case core::errc::invalid_argument:
        return invalid_answer(refusal.problems);
    case core::errc::not_found:
        return error_answer(404, refusal.cause);
    case core::errc::conflict: {
        json::object body{{"error", "conflict"}, {"detail", refusal.cause.detail}};
        if (refusal.current) {
            body["present"] = intents::to_document(*refusal.current);
        }
        if (refusal.changed) {
            body["changed"] = json::array(refusal.changed->begin(), refusal.changed->end());
        }
        return json_answer(409, body);
    }
    case core::errc::unavailable:
        return error_answer(503, refusal.cause);
    default:
        return error_answer(504, refusal.cause);
    }
}

} // namespace

core::task<void> resource_api::handle(http::server_connection& connection,
                                      const http::request& received)
{
    if (received.path() == "/api/v1/watch") {
        co_await watch(connection, received);
        co_return;
    }
    http::response reply = co_await answer(received);
    core::log_event("resource_api")
        .field("method", received.method)
        .field("target", received.target)
        .field("status", reply.status);
    co_await connection.reply(std::move(reply));
}

core::task<http::response> resource_api::answer(const http::request& received)
{
    const std::vector<std::string> parts =
        core::split(std::string(received.path().substr(api_path_prefix.size())), '/');
    const bool drain = parts.size() == 3 && parts[0] == "Host" && parts[2] == "drain";
    if (drain && received.method == "POST") {
        co_return co_await drain_host(parts[1]);
    }
    const std::optional<resource_kind> kind =
        parts.empty() ? std::nullopt : intents::kind_from_string(parts[0]);
    if (!kind || parts.size() > 2) {
        co_return error_answer(404, {core::errc::not_found, "no such path"});
    }
    const std::optional<std::string> name =
        parts.size() == 2 ? std::optional(parts[1]) : std::nullopt;
    if (received.method == "GET" && !name) {
        co_return list(*kind);
    }
    if (received.method == "GET") {
        co_return co_await get(*kind, *name);
    }
    if (received.method == "POST" && !name) {
        co_return co_await write(received, *kind, std::nullopt);
    }
    if (received.method == "PUT" && name) {
        co_return co_await write(received, *kind, name);
    }
    if (received.method == "DELETE" && name) {
        co_return co_await remove(received, *kind, *name);
    }
    co_return error_answer(405, {core::errc::invalid_argument, "no such method here"});
}

http::response resource_api::list(resource_kind kind) const
{
    json::array items;
    for (const std::pair<const objectstore::object_key, objectstore::object>& entry :
         peers_.replica().objects()) {
        if (entry.first.kind != intents::to_string(kind) || entry.second.deleted) {
            continue;
        }
        const core::result<resource> r = intents::from_object(entry.second);
        if (r) {
            items.push_back(with_status(r.value()));
        }
    }
    return json_answer(
        200, json::object{{"revision", peers_.complete().value}, {"items", std::move(items)}});
}

core::task<http::response> resource_api::get(resource_kind kind, std::string name)
{
    const core::result<resource> found = co_await service_.get(kind, name);
    if (found) {
        co_return json_answer(200, with_status(found.value()));
    }
    if (found.error().code == core::errc::not_found) {
        co_return error_answer(404, found.error());
    }
    // The platform is unavailable. The answer comes from the replica of this entry and is marked
    // with a header.
    const objectstore::object* const object =
        peers_.replica().find({std::string(intents::to_string(kind)), name});
    const core::result<resource> r =
        object ? intents::from_object(*object) : core::result<resource>(found.error());
    if (!r) {
        co_return error_answer(503, found.error());
    }
    http::response answer = json_answer(200, with_status(r.value()));
    answer.headers.push_back({"X-Read-From", "replica"});
    co_return answer;
}

core::task<http::response> resource_api::write(const http::request& received, resource_kind kind,
                                               std::optional<std::string> name)
{
    intents::draft_report report = intents::parse_draft(received.body);
    if (report.draft && report.draft->kind != kind) {
        report.problems.push_back({"kind", "differs from the path"});
    }
    if (report.draft && name && report.draft->name != *name) {
        report.problems.push_back({"metadata.name", "differs from the path"});
    }
    if (report.draft && !name) {
        // A creation has no expected version.
        report.draft->version.reset();
    }
    if (!report.problems.empty()) {
        co_return invalid_answer(report.problems);
    }
    const intents::write_result<resource> written =
        co_await service_.apply(std::move(*report.draft));
    if (!written) {
        co_return refusal_answer(written.error());
    }
    co_return json_answer(name ? 200 : 201, with_status(written.value()));
}

core::task<http::response> resource_api::remove(const http::request& received, resource_kind kind,
                                                std::string name)
{
    const std::optional<core::revision> version = version_in(received);
    const intents::write_result<core::revision> removed =
        co_await service_.remove(kind, name, version);
    if (!removed) {
        co_return refusal_answer(removed.error());
    }
    co_return json_answer(200, json::object{{"deleted", name}, {"version", removed.value().value}});
}

core::task<http::response> resource_api::drain_host(std::string name)
{
    const core::result<resource> found = co_await service_.get(resource_kind::host, name);
    if (!found) {
        const bool missing = found.error().code == core::errc::not_found;
        co_return error_answer(missing ? 404 : 503, found.error());
    }
    resource updated = found.value();
    updated.spec["state"] = "leaving";
    ++updated.generation;
    const objectstore::call_context call{"host_drain",
                                         core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> written =
        co_await store_.put(key_of(updated), to_body(updated), updated.version, call);
    if (!written) {
        const bool conflict = written.error().code == core::errc::conflict;
        co_return error_answer(conflict ? 409 : 503, written.error());
    }
    updated.version = written.value().version;
    co_return json_answer(200, with_status(updated));
}

json::object resource_api::with_status(const resource& r) const
{
    json::object document = intents::to_document(r);
    const intents::holder_count in_force = peers_.holding(r.version);
    document["status"] = json::object{{"in_force", json::object{{"generation", r.generation},
                                                                {"entries", in_force.holding},
                                                                {"of", in_force.total}}},
                                      {"conditions", conditions(r)}};
    return document;
}

json::array resource_api::conditions(const resource& r) const
{
    json::array list;
    const auto add = [&list](std::string_view type, bool holds, std::string_view reason) {
        list.push_back({{"type", type}, {"status", holds}, {"reason", reason}});
    };
    if (r.kind == resource_kind::endpoint) {
        const auto spec = context_.catalog.endpoints().find(core::endpoint_id(r.name));
        const bool known = spec != context_.catalog.endpoints().end();
        const bool has_host = known && context_.catalog.hosts().contains(spec->second.spec.host);
        const bool leaving = known && spec->second.spec.desired == intents::desired_state::leaving;
        add("HostKnown", has_host, has_host ? "registered" : "no agent has registered the host");
        add("Leaving", leaving, leaving ? "operator" : "");
    }
    if (r.kind == resource_kind::workspace) {
        const auto spec = context_.catalog.workspaces().find(core::workspace_id(r.name));
        const bool known = spec != context_.catalog.workspaces().end();
        bool served = known;
        std::string missing;
        for (const core::service_id& service :
             known ? spec->second.spec.services : std::vector<core::service_id>()) {
            const auto state = context_.services.find(service);
            const bool usable =
                state != context_.services.end() && state->second->pool.usable_count() > 0;
            missing += usable ? "" : (missing.empty() ? "" : ",") + service.str();
            served = served && usable;
        }
        add("Served", served, served ? "every service has usable endpoints" : missing);
    }
    if (r.kind == resource_kind::model_group) {
        const core::service_id service(r.name);
        const auto state = context_.services.find(service);
        const std::size_t usable =
            state == context_.services.end() ? 0 : state->second->pool.usable_count();
        const std::size_t known = context_.catalog.endpoints_of(service).size();
        add("Usable", usable > 0,
            std::to_string(usable) + " of " + std::to_string(known) + " endpoints");
    }
    return list;
}

core::task<void> resource_api::watch(http::server_connection& connection,
                                     const http::request& received)
{
    // Watches read the replica of this entry, so that they cause no load on the platform.
    core::revision sent_revision{
        std::strtoull(received.query("from").value_or("0").c_str(), nullptr, 10)};
    const std::optional<std::string> kind = received.query("kind");
    const core::result<void> started = co_await connection.begin_stream("application/json");
    bool open = started.has_value();
    while (open && !context_.refuses_new_work) {
        const core::revision current_revision = peers_.complete();
        std::string lines;
        for (const objectstore::object& o : peers_.replica().changes_since(sent_revision).objects) {
            if (kind && o.key.kind != *kind) {
                continue;
            }
            const core::result<resource> r = intents::from_object(o);
            json::object event{{"type", o.deleted ? "deleted" : "changed"},
                               {"kind", o.key.kind},
                               {"name", o.key.name},
                               {"version", o.version.value}};
            if (r) {
                event["resource"] = with_status(r.value());
            }
            lines += json::serialize(event) + "\n";
        }
        if (current_revision > sent_revision) {
            lines += json::serialize(
                         json::object{{"type", "bookmark"}, {"version", current_revision.value}}) +
                     "\n";
            sent_revision = current_revision;
        }
        if (!lines.empty()) {
            const core::result<void> written = co_await connection.write_chunk(lines);
            open = written.has_value();
        }
        co_await core::sleep_for(report_interval);
    }
    co_await connection.end_stream();
}

} // namespace currantpitch::entry
