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

/// The sender's requests of one priority of a service.
struct priority_load_report {
    core::service_id service;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Slots that the requests are expected to use.
    double expected = 0;
};
template <class Archive>
void describe(Archive& archive, priority_load_report& m)
{
    archive(m.service, m.priority, m.running, m.waiting, m.expected);
}

/// Reports where an entry's requests run, how many there are of each priority where services have
/// several, and whether callers may be sent to this entry. Replaces the sender's previous report.
struct load_report {
    static constexpr std::uint8_t type = load_report_type;
    bool ready = false;
    std::vector<endpoint_load> loads;
    /// Empty unless capacities are learned.
    std::vector<capacity::endpoint_samples> samples;
    std::vector<priority_load_report> priorities;
};
template <class Archive>
void describe(Archive& archive, load_report& m)
{
    archive(m.ready, m.loads, m.samples, m.priorities);
}

} // namespace currantpitch::dispatch
