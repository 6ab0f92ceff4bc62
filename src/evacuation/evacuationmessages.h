#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <vector>

namespace currantpitch::evacuation {

/// Message types 160 to 175 are reserved for evacuations.
enum message_number : std::uint8_t {
    evacuation_report_type = 160,
};

/// An evacuated failure domain and the version of the object that says so.
struct reported_evacuation {
    core::failure_domain_id failure_domain;
    core::revision at;
};
template <class Archive>
void describe(Archive& archive, reported_evacuation& m)
{
    archive(m.failure_domain, m.at);
}

/// All evacuations that the sender knows. Sent to the other entries when they change, and to an
/// entry that connects.
struct evacuation_report {
    static constexpr std::uint8_t type = evacuation_report_type;
    /// The report is complete up to this revision.
    core::revision as_of;
    std::vector<reported_evacuation> evacuated;
    /// Evacuations from before a restore of the store that the store has not shown again.
    std::vector<reported_evacuation> unconfirmed;
    /// The time in which operators write again after the restore is over for the sender.
    bool rewritten = false;
};
template <class Archive>
void describe(Archive& archive, evacuation_report& m)
{
    archive(m.as_of, m.evacuated, m.unconfirmed, m.rewritten);
}

} // namespace currantpitch::evacuation
