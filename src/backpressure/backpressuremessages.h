#pragma once

#include "core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace currantpitch::backpressure {

/// Message types 112 to 127 are reserved for backpressure.
enum message_number : std::uint8_t {
    signal_report_type = 112,
    permit_request_type = 113,
    permit_offer_type = 114,
};

/// What an endpoint has said in an answer: the limit that it names or no longer names, and whether
/// it leaves.
struct reported_signal {
    core::endpoint_id endpoint;
    core::incarnation incarnation;
    /// Requests per second that the endpoint accepts from all entries together.
    std::optional<double> per_second;
    bool leaving = false;
    /// Time from the sending of the answered request until the report was sent.
    std::chrono::milliseconds asked_ago{};
    /// Remaining time for which the endpoint is cold, and requests per second that it accepts
    /// meanwhile. Zero when it is not known to be cold.
    std::chrono::milliseconds cold_for{};
    double cold_per_second = 0;
};
template <class Archive>
void describe(Archive& archive, reported_signal& m)
{
    archive(m.endpoint, m.incarnation, m.per_second, m.leaving, m.asked_ago, m.cold_for,
            m.cold_per_second);
}

/// What an entry has learned from answers of endpoints. Sent to the other entries when it changes,
/// and all of it to an entry that connects.
struct signal_report {
    static constexpr std::uint8_t type = signal_report_type;
    std::vector<reported_signal> signals;
};
template <class Archive>
void describe(Archive& archive, signal_report& m)
{
    archive(m.signals);
}

/// Asks the owner of an endpoint's permits for one of them.
struct permit_request {
    static constexpr std::uint8_t type = permit_request_type;
    core::endpoint_id endpoint;
    /// Requests per second that the endpoint accepts, as known to the sender.
    double per_second = 0;
    /// Time within which the permit must start.
    std::chrono::milliseconds max_wait{};
    core::incarnation incarnation;
    /// Remaining time for which the endpoint is cold, as known to the sender.
    std::chrono::milliseconds cold_for{};
    /// Identifies the request among those of the sender.
    std::uint64_t number = 0;
    /// The sender does not know that the endpoint is cold, but that it may be.
    bool cold_assumed = false;
};
template <class Archive>
void describe(Archive& archive, permit_request& m)
{
    archive(m.endpoint, m.per_second, m.max_wait, m.incarnation, m.cold_for, m.number,
            m.cold_assumed);
}

/// Answers a permit_request.
struct permit_offer {
    static constexpr std::uint8_t type = permit_offer_type;
    core::endpoint_id endpoint;
    bool granted = false;
    /// Time after which the permit is valid or, if none is granted, after which to ask again.
    std::chrono::milliseconds starts_in{};
    /// Number of the request.
    std::uint64_t number = 0;
};
template <class Archive>
void describe(Archive& archive, permit_offer& m)
{
    archive(m.endpoint, m.granted, m.starts_in, m.number);
}

} // namespace currantpitch::backpressure
