#include "objectstore/internal/storecodec.h"

#include <boost/json.hpp>

namespace currantpitch::objectstore {

namespace json = boost::json;
using core::errc;
using core::error;

namespace {

json::object encode(const object& o)
{
    return {{"kind", o.key.kind},
            {"name", o.key.name},
            {"version", o.version.value},
            {"body", o.body},
            {"deleted", o.deleted}};
}

std::optional<json::object> parse_object(std::string_view text)
{
    boost::system::error_code failure;
    json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.as_object());
}

std::optional<std::uint64_t> unsigned_field(const json::object& from, std::string_view name)
{
    const json::value* const value = from.if_contains(name);
    if (value == nullptr || !(value->is_int64() || value->is_uint64())) {
        return std::nullopt;
    }
    return value->is_uint64() ? value->as_uint64() : static_cast<std::uint64_t>(value->as_int64());
}

std::optional<std::string> string_field(const json::object& from, std::string_view name)
{
    const json::value* const value = from.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        return std::nullopt;
    }
    return std::string(value->as_string());
}

core::result<object> decode(const json::object& from)
{
    const std::optional<std::string> kind = string_field(from, "kind");
    const std::optional<std::string> name = string_field(from, "name");
    const std::optional<std::uint64_t> version = unsigned_field(from, "version");
    const std::optional<std::string> body = string_field(from, "body");
    const json::value* const deleted = from.if_contains("deleted");
    if (!kind || !name || !version || !body || deleted == nullptr || !deleted->is_bool()) {
        return error{errc::malformed, "not an object of the store"};
    }
    return object{{*kind, *name}, core::revision{*version}, *body, deleted->as_bool()};
}

} // namespace

std::string to_json(const object& o)
{
    return json::serialize(encode(o));
}

std::string to_json(const listing& l)
{
    json::array objects;
    for (const object& o : l.objects) {
        objects.push_back(encode(o));
    }
    return json::serialize(json::object{{"revision", l.at.value}, {"objects", std::move(objects)}});
}

std::string to_json(const watch_event& e)
{
    json::object text{{"revision", e.at.value}};
    if (e.changed) {
        text["object"] = encode(*e.changed);
    }
    return json::serialize(text);
}

core::result<object> object_from_json(std::string_view text)
{
    const std::optional<json::object> parsed = parse_object(text);
    if (!parsed) {
        return error{errc::malformed, "not JSON"};
    }
    return decode(*parsed);
}

core::result<listing> listing_from_json(std::string_view text)
{
    const std::optional<json::object> parsed = parse_object(text);
    const std::optional<std::uint64_t> at =
        parsed ? unsigned_field(*parsed, "revision") : std::nullopt;
    const json::value* const objects = parsed ? parsed->if_contains("objects") : nullptr;
    if (!at || objects == nullptr || !objects->is_array()) {
        return error{errc::malformed, "not a listing"};
    }
    listing l{core::revision{*at}, {}};
    for (const json::value& entry : objects->as_array()) {
        if (!entry.is_object()) {
            return error{errc::malformed, "not a listing"};
        }
        core::result<object> o = decode(entry.as_object());
        if (!o) {
            return o.error();
        }
        l.objects.push_back(std::move(o.value()));
    }
    return l;
}

core::result<watch_event> event_from_json(std::string_view text)
{
    const std::optional<json::object> parsed = parse_object(text);
    const std::optional<std::uint64_t> at =
        parsed ? unsigned_field(*parsed, "revision") : std::nullopt;
    if (!at) {
        return error{errc::malformed, "not a watch event"};
    }
    watch_event event{std::nullopt, core::revision{*at}};
    const json::value* const changed = parsed->if_contains("object");
    if (changed == nullptr) {
        return event;
    }
    if (!changed->is_object()) {
        return error{errc::malformed, "not a watch event"};
    }
    core::result<object> o = decode(changed->as_object());
    if (!o) {
        return o.error();
    }
    event.changed = std::move(o.value());
    return event;
}

} // namespace currantpitch::objectstore
