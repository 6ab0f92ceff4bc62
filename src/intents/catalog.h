#pragma once

#include "core/identifiers.h"
#include "intents/resource.h"
#include "intents/specs.h"
#include "objectstore/storeclient.h"

#include <map>
#include <vector>

namespace currantpitch::intents {

/// A spec with the version that is in force.
template <class Spec>
struct versioned {
    core::revision version;
    std::uint64_t generation = 0;
    Spec spec;
};

/// Typed view of the configuration. Objects that do not parse are counted, logged and left at
/// their last good version.
class catalog {
public:
    /// Takes one applied object of the replica.
    void update(const objectstore::object& o);

    const std::map<core::service_id, versioned<model_group_spec>>& model_groups() const
    {
        return model_groups_;
    }
    const std::map<core::workspace_id, versioned<workspace_spec>>& workspaces() const
    {
        return workspaces_;
    }
    const std::map<core::endpoint_id, versioned<endpoint_spec>>& endpoints() const
    {
        return endpoints_;
    }
    const std::map<core::host_id, versioned<host_spec>>& hosts() const { return hosts_; }
    const std::map<std::string, versioned<quarantine_spec>>& quarantines() const
    {
        return quarantines_;
    }

    /// Endpoints of a model group or plain service.
    std::vector<core::endpoint_id> endpoints_of(const core::service_id& service) const;
    /// The role of a service's endpoints; nothing when it has none.
    std::optional<endpoint_role> role_of(const core::service_id& service) const;
    /// Counts the updates, so that a derived view can tell that it is behind.
    std::uint64_t changes() const { return changes_; }

private:
    std::map<core::service_id, versioned<model_group_spec>> model_groups_;
    std::map<core::workspace_id, versioned<workspace_spec>> workspaces_;
    std::map<core::endpoint_id, versioned<endpoint_spec>> endpoints_;
    std::map<core::host_id, versioned<host_spec>> hosts_;
    std::map<std::string, versioned<quarantine_spec>> quarantines_;
    std::uint64_t changes_ = 0;
};

} // namespace currantpitch::intents
