#pragma once

#include "capacity/capacitymessages.h"
#include "core/identifiers.h"

#include <cstdint>
#include <vector>

namespace currantpitch::dispatch {

/// Message types 96 to 111 are reserved for dispatch.
enum message_number : std::uint8_t {
    load_report_type = 96,
};

/// Number of the sender's requests that run at one endpoint.
struct endpoint_load {
    core::endpoint_id endpoint;
    std::uint32_t running = 0;
};
template <class Archive>
void describe(Archive& archive, endpoint_load& m)
{
    archive(m.endpoint, m.running);
}

/// Reports where an entry's requests run, and whether callers may be sent to this entry. Replaces
/// the sender's previous report.
struct load_report {
    static constexpr std::uint8_t type = load_report_type;
    bool ready = false;
    std::vector<endpoint_load> loads;
    /// Empty unless capacities are learned.
    std::vector<capacity::endpoint_samples> samples;
};
template <class Archive>
void describe(Archive& archive, load_report& m)
{
    archive(m.ready, m.loads, m.samples);
}

} // namespace currantpitch::dispatch
