#pragma once

#include "core/identifiers.h"
#include "intents/replica.h"

#include <cstdint>
#include <vector>

namespace currantpitch::objectstore {

template <class Archive>
void describe(Archive& archive, object_key& m)
{
    archive(m.kind, m.name);
}
template <class Archive>
void describe(Archive& archive, object& m)
{
    archive(m.key, m.version, m.body, m.deleted);
}

} // namespace currantpitch::objectstore

namespace currantpitch::intents {

/// Message types 32 to 47 are reserved for the dissemination of configuration.
enum message_number : std::uint8_t {
    sync_status_type = 32,
    sync_changes_type = 33,
    agent_configuration_type = 34,
    domain_summary_type = 35,
    fleet_summary_type = 36,
};

/// State of the configuration replica of a process.
struct sync_status {
    static constexpr std::uint8_t type = sync_status_type;
    core::revision complete;
    core::revision newest;
    std::uint64_t content_hash = 0;
};
template <class Archive>
void describe(Archive& archive, sync_status& m)
{
    archive(m.complete, m.newest, m.content_hash);
}

/// Configuration changes for a peer.
struct sync_changes {
    static constexpr std::uint8_t type = sync_changes_type;
    core::revision from;
    core::revision to;
    bool full = false;
    std::vector<objectstore::object> objects;
};
template <class Archive>
void describe(Archive& archive, sync_changes& m)
{
    archive(m.from, m.to, m.full, m.objects);
}

/// Number of processes whose configuration is complete up to the revision.
struct revision_count {
    core::revision complete;
    std::uint32_t processes = 0;
};
template <class Archive>
void describe(Archive& archive, revision_count& m)
{
    archive(m.complete, m.processes);
}

/// Revisions held by the entries of a failure domain, from one of its relays to the other relays.
struct domain_summary {
    static constexpr std::uint8_t type = domain_summary_type;
    core::failure_domain_id failure_domain;
    std::vector<revision_count> counts;
};
template <class Archive>
void describe(Archive& archive, domain_summary& m)
{
    archive(m.failure_domain, m.counts);
}

/// Revisions held by all entries, from a relay to the entries of its failure domain.
struct fleet_summary {
    static constexpr std::uint8_t type = fleet_summary_type;
    std::vector<revision_count> counts;
};
template <class Archive>
void describe(Archive& archive, fleet_summary& m)
{
    archive(m.counts);
}

/// Objects that an agent needs: its endpoint, the endpoint's group and the group's members. An
/// object takes effect when it is newer than the one that the agent holds.
struct agent_configuration {
    static constexpr std::uint8_t type = agent_configuration_type;
    core::revision complete;
    std::vector<objectstore::object> objects;
};
template <class Archive>
void describe(Archive& archive, agent_configuration& m)
{
    archive(m.complete, m.objects);
}

} // namespace currantpitch::intents
