#pragma once

#include "intents/catalog.h"
#include "intents/syncmessages.h"

#include <map>
#include <optional>

namespace currantpitch::agent {

/// The part of the configuration that concerns one agent, as received from the entries. Versions of
/// objects never decrease, regardless of which entry sends a message. An older message cannot
/// remove a newer object.
class agent_configuration_store {
public:
    /// Applies a message. Returns whether it changed the configuration.
    bool apply(const intents::agent_configuration& message);

    const intents::catalog& catalog() const { return catalog_; }
    /// Highest revision up to which a received message was complete.
    core::revision revision() const { return revision_; }

private:
    std::map<objectstore::object_key, core::revision> versions_;
    intents::catalog catalog_;
    core::revision revision_;
};

} // namespace currantpitch::agent
