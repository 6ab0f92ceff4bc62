#include "intents/resource.h"

#include "intents/fieldreader.h"
#include "intents/intentsconstants.h"
#include "intents/internal/fieldpaths.h"

#include <set>

namespace currantpitch::intents {

namespace json = boost::json;
using core::errc;
using core::error;

namespace {

json::array encode(const std::vector<recorded_change>& changes)
{
    json::array list;
    for (const recorded_change& change : changes) {
        list.push_back({{"replaced", change.replaced.value},
                        {"fields", json::array(change.fields.begin(), change.fields.end())}});
    }
    return list;
}

std::vector<recorded_change> decode_changes(const json::value* list)
{
    std::vector<recorded_change> changes;
    if (list == nullptr || !list->is_array()) {
        return changes;
    }
    for (const json::value& item : list->as_array()) {
        const json::object* const entry = item.if_object();
        const json::value* const replaced = entry ? entry->if_contains("replaced") : nullptr;
        const json::value* const fields = entry ? entry->if_contains("fields") : nullptr;
        if (replaced == nullptr || !replaced->is_int64() || fields == nullptr ||
            !fields->is_array()) {
            continue;
        }
        recorded_change change{core::revision{static_cast<std::uint64_t>(replaced->as_int64())},
                               {}};
        for (const json::value& field : fields->as_array()) {
            change.fields.emplace_back(field.is_string() ? field.as_string() : "?");
        }
        changes.push_back(std::move(change));
    }
    return changes;
}

} // namespace

objectstore::object_key key_of(const resource& r)
{
    return {std::string(to_string(r.kind)), r.name};
}

std::string to_body(const resource& r)
{
    const json::object body{{"generation", r.generation},
                            {"nonce", r.nonce},
                            {"spec", r.spec},
                            {"changes", encode(r.changes)}};
    return json::serialize(body);
}

core::result<resource> from_object(const objectstore::object& o)
{
    const std::optional<resource_kind> kind = kind_from_string(o.key.kind);
    boost::system::error_code failure;
    const json::value body = json::parse(o.body, failure);
    const json::object* const fields = failure ? nullptr : body.if_object();
    const json::value* const generation = fields ? fields->if_contains("generation") : nullptr;
    const json::value* const nonce = fields ? fields->if_contains("nonce") : nullptr;
    const json::value* const spec = fields ? fields->if_contains("spec") : nullptr;
    const bool complete = kind && generation != nullptr && generation->is_int64() &&
                          nonce != nullptr && nonce->is_string() && spec != nullptr &&
                          spec->is_object();
    if (!complete) {
        return error{errc::malformed, o.key.kind + "/" + o.key.name + " is not a resource"};
    }
    resource r;
    r.kind = *kind;
    r.name = o.key.name;
    r.version = o.version;
    r.generation = static_cast<std::uint64_t>(generation->as_int64());
    r.nonce = std::string(nonce->as_string());
    r.spec = spec->as_object();
    r.changes = decode_changes(fields->if_contains("changes"));
    return r;
}

json::object to_document(const resource& r)
{
    return {{"kind", to_string(r.kind)},
            {"metadata", json::object{{"name", r.name},
                                      {"version", r.version.value},
                                      {"generation", r.generation}}},
            {"spec", r.spec}};
}

draft_report parse_draft(std::string_view text)
{
    draft_report report;
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object()) {
        report.problems.push_back({"", "must be a JSON object"});
        return report;
    }
    field_reader root_reader(parsed.as_object(), "", report.problems);
    resource_draft draft;
    const std::string kind = root_reader.text("kind");
    const std::optional<resource_kind> parsed_kind = kind_from_string(kind);
    if (!parsed_kind && !kind.empty()) {
        root_reader.report("kind", "is not a known kind");
    }
    draft.kind = parsed_kind.value_or(resource_kind::workspace);

    const json::object empty;
    const json::value* const metadata = parsed.as_object().if_contains("metadata");
    const json::value* const spec = parsed.as_object().if_contains("spec");
    for (const std::string_view section : {"metadata", "spec"}) {
        const json::value* const value = parsed.as_object().if_contains(section);
        if (value == nullptr || !value->is_object()) {
            root_reader.report(section, "must be an object");
        }
    }
    const bool has_metadata = metadata != nullptr && metadata->is_object();
    field_reader metadata_reader(has_metadata ? metadata->as_object() : empty, "metadata.",
                                 report.problems);
    if (has_metadata) {
        draft.name = metadata_reader.text("name");
        const core::findings bad_name = validate_name(draft.name);
        report.problems.insert(report.problems.end(), bad_name.begin(), bad_name.end());
        const std::int64_t version =
            metadata_reader.integer_or("version", -1, 0, std::numeric_limits<std::int64_t>::max());
        if (version >= 0) {
            draft.version = core::revision{static_cast<std::uint64_t>(version)};
        }
        metadata_reader.integer_or("generation", 0, 0, std::numeric_limits<std::int64_t>::max());
        metadata_reader.finish();
    }
    if (spec != nullptr && spec->is_object()) {
        draft.spec = spec->as_object();
    }
    if (parsed_kind && spec != nullptr && spec->is_object()) {
        const core::findings bad_spec = validate_spec(*parsed_kind, draft.spec);
        report.problems.insert(report.problems.end(), bad_spec.begin(), bad_spec.end());
    }
    const std::set<std::string_view> known_sections = {"kind", "metadata", "spec", "status"};
    for (const json::key_value_pair& entry : parsed.as_object()) {
        if (!known_sections.contains(std::string_view(entry.key()))) {
            root_reader.report(entry.key(), "is not a known field");
        }
    }
    if (report.problems.empty()) {
        report.draft = std::move(draft);
    }
    return report;
}

std::optional<std::vector<std::string>> fields_changed_since(const resource& r,
                                                             core::revision version)
{
    std::set<std::string> fields;
    bool recorded = version == r.version;
    for (const recorded_change& change : r.changes) {
        if (change.replaced >= version) {
            fields.insert(change.fields.begin(), change.fields.end());
        }
        recorded = recorded || change.replaced == version;
    }
    if (!recorded) {
        return std::nullopt;
    }
    return std::vector<std::string>(fields.begin(), fields.end());
}

resource resource_from_draft(const resource_draft& draft, const std::optional<resource>& current,
                             std::string nonce)
{
    resource next;
    next.kind = draft.kind;
    next.name = draft.name;
    next.nonce = std::move(nonce);
    next.spec = draft.spec;
    next.generation = 1;
    if (!current) {
        return next;
    }
    const std::vector<std::string> fields = changed_fields(current->spec, draft.spec, "spec.");
    next.generation = current->generation + (fields.empty() ? 0 : 1);
    next.changes = current->changes;
    next.changes.push_back({current->version, fields});
    if (next.changes.size() > max_change_history) {
        next.changes.erase(next.changes.begin());
    }
    return next;
}

} // namespace currantpitch::intents
