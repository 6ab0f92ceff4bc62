#pragma once

#include "core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace currantpitch::capacity {

/// One request at an endpoint. Holds no time of day: hosts do not compare their clocks.
struct reported_sample {
    /// Number of requests at the endpoint, including this one.
    std::uint32_t load = 1;
    /// Time to the answer, or to the first event of a stream. Zero if the request failed.
    std::chrono::microseconds latency{};
    /// Age of the sample when the report was made.
    std::chrono::milliseconds age{};
};
template <class Archive>
void describe(Archive& archive, reported_sample& m)
{
    archive(m.load, m.latency, m.age);
}

/// Samples of the sender's own requests at one endpoint since its previous report. Part of the load
/// report.
struct endpoint_samples {
    core::endpoint_id endpoint;
    core::incarnation incarnation;
    std::vector<reported_sample> samples;
};
template <class Archive>
void describe(Archive& archive, endpoint_samples& m)
{
    archive(m.endpoint, m.incarnation, m.samples);
}

} // namespace currantpitch::capacity
