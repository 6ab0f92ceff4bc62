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
    part_report_type = 67,
    suspicion_report_type = 68,
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

/// A request that an endpoint was running when it crashed, see part_crash.
struct reported_part_crash {
    std::vector<core::prompt_part_id> parts;
    core::endpoint_id endpoint;
    core::incarnation endpoint_incarnation;
    bool answer_begun = false;
    /// Time from the crash until the report was sent.
    std::chrono::milliseconds age{};
};
template <class Archive>
void describe(Archive& archive, reported_part_crash& m)
{
    archive(m.parts, m.endpoint, m.endpoint_incarnation, m.answer_begun, m.age);
}

/// The last progress of a request with a part.
struct reported_part_progress {
    core::prompt_part_id part;
    /// Time from the progress until the report was sent.
    std::chrono::milliseconds age{};
};
template <class Archive>
void describe(Archive& archive, reported_part_progress& m)
{
    archive(m.part, m.age);
}

/// What an entry has seen of the parts of prompts that may crash a service's endpoints. Sent to the
/// other entries.
struct part_report {
    static constexpr std::uint8_t type = part_report_type;
    core::service_id service;
    std::vector<reported_part_crash> crashes;
    std::vector<reported_part_progress> progress;
    /// Parts of a request that was let through as a probe just now.
    std::vector<core::prompt_part_id> probed;
    /// The report answers one of the receiver's, which tells the other entries what is new.
    bool is_reply = false;
};
template <class Archive>
void describe(Archive& archive, part_report& m)
{
    archive(m.service, m.crashes, m.progress, m.probed, m.is_reply);
}

/// A request that an entry holds back, see request_hold.
struct reported_hold {
    std::string fingerprint;
    core::workspace_id workspace;
    /// Time from the latest crash, and times until the end of the hold and of its probe, as seen
    /// when the report was sent.
    std::chrono::milliseconds age{};
    std::chrono::milliseconds held_for{};
    unsigned failed_probes = 0;
    std::chrono::milliseconds probed_for{};
};
template <class Archive>
void describe(Archive& archive, reported_hold& m)
{
    archive(m.fingerprint, m.workspace, m.age, m.held_for, m.failed_probes, m.probed_for);
}

/// What an entry knows of requests that may crash endpoints. Sent to the other entries.
struct suspicion_report {
    static constexpr std::uint8_t type = suspicion_report_type;
    std::vector<crash_report> crashes;
    std::vector<suspicion_clearance> cleared;
    /// The holds known to an entry, or a single one whose probe begins.
    std::vector<reported_hold> holds;
};
template <class Archive>
void describe(Archive& archive, suspicion_report& m)
{
    archive(m.crashes, m.cleared, m.holds);
}

} // namespace currantpitch::admission
