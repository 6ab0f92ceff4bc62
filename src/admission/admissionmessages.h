#pragma once

#include "core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace currantpitch::admission {

/// Message types 64 to 79 belong to admission.
enum message_number : std::uint8_t {
    demand_report_type = 64,
    crash_report_type = 65,
    suspicion_clearance_type = 66,
};

/// Demand of one workspace for one service.
struct workspace_demand {
    core::service_id service;
    core::workspace_id workspace;
    double demand = 0;
};
template <class Archive>
void describe(Archive& archive, workspace_demand& m)
{
    archive(m.service, m.workspace, m.demand);
}

/// Numbers of requests running and waiting at an entry, sent to the other entries that serve the
/// same workspaces.
struct demand_report {
    static constexpr std::uint8_t type = demand_report_type;
    core::host_id entry;
    std::uint64_t sequence = 0;
    std::vector<workspace_demand> demands;
};
template <class Archive>
void describe(Archive& archive, demand_report& m)
{
    archive(m.entry, m.sequence, m.demands);
}

/// A request that was running on an endpoint when the endpoint failed. Forwarded to all entries.
struct crash_report {
    static constexpr std::uint8_t type = crash_report_type;
    std::string fingerprint;
    core::workspace_id workspace;
    core::endpoint_id endpoint;
    core::failure_domain_id failure_domain;
    core::incarnation endpoint_incarnation;
    bool isolated = false;
    /// Time from the failure until the report was sent.
    std::chrono::milliseconds age{};
};
template <class Archive>
void describe(Archive& archive, crash_report& m)
{
    archive(m.fingerprint, m.workspace, m.endpoint, m.failure_domain, m.endpoint_incarnation,
            m.isolated, m.age);
}

/// Announces that a suspect request ran to completion, so that it is no longer suspect.
struct suspicion_clearance {
    static constexpr std::uint8_t type = suspicion_clearance_type;
    std::string fingerprint;
};
template <class Archive>
void describe(Archive& archive, suspicion_clearance& m)
{
    archive(m.fingerprint);
}

} // namespace currantpitch::admission
