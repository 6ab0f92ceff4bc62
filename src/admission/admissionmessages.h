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
    clearance_type = 66,
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

/// Requests that run and wait at an entry, for the other entries of the same workspaces.
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

/// A request that was on an endpoint which died; passed on to all entries.
struct crash_report {
    static constexpr std::uint8_t type = crash_report_type;
    std::string fingerprint;
    core::workspace_id workspace;
    core::endpoint_id endpoint;
    core::failure_domain_id failure_domain;
    core::incarnation endpoint_incarnation;
    bool isolated = false;
    /// Time since the death when the report was sent.
    std::chrono::milliseconds age{};
};
template <class Archive>
void describe(Archive& archive, crash_report& m)
{
    archive(m.fingerprint, m.workspace, m.endpoint, m.failure_domain, m.endpoint_incarnation,
            m.isolated, m.age);
}

/// A request under suspicion that ran to its end.
struct clearance {
    static constexpr std::uint8_t type = clearance_type;
    std::string fingerprint;
};
template <class Archive>
void describe(Archive& archive, clearance& m)
{
    archive(m.fingerprint);
}

} // namespace currantpitch::admission
