#pragma once

#include "core/error.h"
#include "core/identifiers.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantpitch::endpoints {

/// One event of an engine's answer stream.
struct engine_event {
    bool done = false;
    std::uint64_t offset = 0;
    std::string token;
    /// Final event: tokens of the whole answer.
    std::uint64_t count = 0;
};

/// Parses one server-sent event record; errc::malformed when it is none of the protocol's.
core::result<engine_event> parse_event(std::string_view record);

/// What an engine or service reports of itself.
struct endpoint_status {
    core::incarnation incarnation;
    std::uint32_t running = 0;
    std::chrono::milliseconds age{};
    core::step_number step;
    core::map_version map;
    /// The engine lost its state and takes no step before it is told its group's.
    bool fresh = false;
    /// A map switch that is prepared: its version and step, and whether it is committed.
    core::map_version prepared_map;
    core::step_number prepared_step;
    bool prepared_committed = false;
    /// Tokens routed to each expert since the engine started; empty when not reported.
    std::vector<double> expert_tokens;
    /// Mean time of a step on this rank alone, without waiting for others.
    std::chrono::nanoseconds rank_step_time{};
};

/// Parses the answer of the status path.
core::result<endpoint_status> parse_status(std::string_view text);

} // namespace currantpitch::endpoints
