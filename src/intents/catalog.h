#pragma once

#include "core/identifiers.h"
#include "intents/resource.h"
#include "intents/specs.h"
#include "objectstore/storeclient.h"

#include <map>
#include <vector>

namespace currantpitch::intents {

/// The spec of a resource with its version and generation.
template <class Spec>
struct versioned {
    core::revision version;
    std::uint64_t generation = 0;
    Spec spec;
};

/// Typed view of the configuration. An object that cannot be parsed is counted and logged, and its
/// last valid version stays in the view.
class catalog {
public:
    /// Applies one object that the replica has applied.
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
    /// The role of the endpoints of a service; nothing when it has no endpoints.
    std::optional<endpoint_role> role_of(const core::service_id& service) const;
    /// Number of updates so far. A derived view compares it to detect that it is out of date.
    std::uint64_t update_count() const { return update_count_; }

private:
    std::map<core::service_id, versioned<model_group_spec>> model_groups_;
    std::map<core::workspace_id, versioned<workspace_spec>> workspaces_;
    std::map<core::endpoint_id, versioned<endpoint_spec>> endpoints_;
    std::map<core::host_id, versioned<host_spec>> hosts_;
    std::map<std::string, versioned<quarantine_spec>> quarantines_;
    std::uint64_t update_count_ = 0;
};

} // namespace currantpitch::intents
