#pragma once

#include "core/identifiers.h"

#include <cstdint>

namespace currantpitch::membership {

/// Message types 16 to 31 are reserved for connections between entries.
enum message_number : std::uint8_t {
    peer_hello_type = 16,
    peer_heartbeat_type = 17,
    presence_report_type = 18,
};

/// First message of each side of a connection between entries.
struct peer_hello {
    static constexpr std::uint8_t type = peer_hello_type;
    core::host_id host;
    core::failure_domain_id failure_domain;
    core::incarnation incarnation;
};
template <class Archive>
void describe(Archive& archive, peer_hello& m)
{
    archive(m.host, m.failure_domain, m.incarnation);
}

/// Heartbeat of a peer.
struct peer_heartbeat {
    static constexpr std::uint8_t type = peer_heartbeat_type;
    bool leaving = false;
};
template <class Archive>
void describe(Archive& archive, peer_heartbeat& m)
{
    archive(m.leaving);
}

enum class presence { up, leaving, down, last = down };

/// Presence of one process as observed by another. Reports are forwarded to all entries. A report
/// with a higher sequence number replaces that of the same observer and subject.
struct presence_report {
    static constexpr std::uint8_t type = presence_report_type;
    core::host_id observer;
    core::incarnation observer_incarnation;
    std::uint64_t sequence = 0;
    core::host_id subject;
    core::incarnation subject_incarnation;
    presence state = presence::up;
};
template <class Archive>
void describe(Archive& archive, presence_report& m)
{
    archive(m.observer, m.observer_incarnation, m.sequence, m.subject, m.subject_incarnation,
            m.state);
}

} // namespace currantpitch::membership
