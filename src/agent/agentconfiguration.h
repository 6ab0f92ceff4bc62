#pragma once

#include "intents/catalog.h"
#include "intents/syncmessages.h"

#include <map>
#include <optional>

namespace currantpitch::agent {

/// The part of the configuration that concerns one agent, as its entries send it. Versions never
/// go back, whichever entry sends what; an older message cannot remove a newer object.
class agent_configuration_store {
public:
    /// Takes a message. True when it changed anything.
    bool take(const intents::agent_configuration& message);

    const intents::catalog& known() const { return catalog_; }
    /// Highest revision of a message that was taken.
    core::revision revision() const { return revision_; }

private:
    std::map<objectstore::object_key, core::revision> versions_;
    intents::catalog catalog_;
    core::revision revision_;
};

} // namespace currantpitch::agent
