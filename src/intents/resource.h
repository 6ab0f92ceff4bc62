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
struct remembered_change {
    core::revision replaced;
    std::vector<std::string> fields;
};

/// A resource as the store keeps it.
struct resource {
    resource_kind kind = resource_kind::workspace;
    std::string name;
    core::revision version;
    /// Counts the accepted changes of the spec, from 1.
    std::uint64_t generation = 0;
    /// Drawn by the writer; tells whether a write whose answer was lost took effect.
    std::string nonce;
    boost::json::object spec;
    std::vector<remembered_change> changes;
};

objectstore::object_key key_of(const resource& r);

/// Body of the store's object.
std::string to_body(const resource& r);
/// The resource in an object; errc::malformed when the body is none of ours.
core::result<resource> from_object(const objectstore::object& o);

/// The resource as operators see it, without status.
boost::json::object to_document(const resource& r);

/// A resource as an operator wrote it.
struct resource_draft {
    resource_kind kind = resource_kind::workspace;
    std::string name;
    /// Version that the draft replaces; nothing when the operator named none.
    std::optional<core::revision> version;
    boost::json::object spec;
};

/// A draft, or every finding.
struct draft_report {
    core::findings problems;
    std::optional<resource_draft> draft;
};

/// Reads an operator's document: kind, metadata, spec. A status is ignored.
draft_report parse_draft(std::string_view text);

/// Fields that changed since the version; nothing when the resource no longer remembers.
std::optional<std::vector<std::string>> changed_since(const resource& r, core::revision version);

/// The resource that results from a draft over the present one, if any.
resource next_of(const resource_draft& draft, const std::optional<resource>& present,
                 std::string nonce);

} // namespace currantpitch::intents
