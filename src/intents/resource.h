#pragma once

#include "core/error.h"
#include "core/finding.h"
#include "intents/specs.h"
#include "objectstore/storeclient.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace currantpitch::intents {

/// One accepted change: the version it replaced and the fields it changed.
struct recorded_change {
    core::revision replaced;
    std::vector<std::string> fields;
};

/// A resource as it is stored.
struct resource {
    resource_kind kind = resource_kind::workspace;
    std::string name;
    core::revision version;
    /// Number of accepted changes of the spec, starting at 1.
    std::uint64_t generation = 0;
    /// Chosen by the writer. Shows whether a write took effect when its response was lost.
    std::string nonce;
    boost::json::object spec;
    std::vector<recorded_change> changes;
};

objectstore::object_key key_of(const resource& r);

/// Body of the resource's object in the store.
std::string to_body(const resource& r);
/// The resource in an object; errc::malformed when the kind is unknown or the body is not that of a
/// resource.
core::result<resource> from_object(const objectstore::object& o);

/// The document that operators read, without the status.
boost::json::object to_document(const resource& r);

/// A resource as an operator wrote it.
struct resource_draft {
    resource_kind kind = resource_kind::workspace;
    std::string name;
    /// Version that the draft replaces; nothing when the operator gave none.
    std::optional<core::revision> version;
    boost::json::object spec;
};

/// A draft, or all findings when the document is invalid.
struct draft_report {
    core::findings problems;
    std::optional<resource_draft> draft;
};

/// Parses an operator's document with kind, metadata and spec. A status is ignored.
draft_report parse_draft(std::string_view text);

/// Fields that changed since the version; nothing when the recorded changes do not reach back to
/// it.
std::optional<std::vector<std::string>> fields_changed_since(const resource& r,
                                                             core::revision version);

/// The resource that results from applying a draft to the current resource, if there is one.
resource resource_from_draft(const resource_draft& draft, const std::optional<resource>& current,
                             std::string nonce);

} // namespace currantpitch::intents
