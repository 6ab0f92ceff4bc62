#pragma once

#include "core/error.h"
#include "core/identifiers.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantpitch::endpoints {

/// One event of an engine's response stream.
struct engine_event {
    bool done = false;
    std::uint64_t offset = 0;
    std::string token;
    /// Final event only: number of tokens of the complete answer.
    std::uint64_t count = 0;
};

/// Parses one server-sent event record. Returns errc::malformed if it is not an event of the
/// protocol.
core::result<engine_event> parse_event(std::string_view record);

/// Status reported by an engine or service.
struct endpoint_status {
    core::incarnation incarnation;
    std::uint32_t running = 0;
    std::chrono::milliseconds age{};
    core::step_number step;
    core::map_version map;
    /// The engine has lost its state and takes no step until it receives the state of its group.
    bool fresh = false;
    /// A prepared map switch: its version, its step and whether it is committed.
    core::map_version prepared_map;
    core::step_number prepared_step;
    bool prepared_committed = false;
    /// Tokens routed to each expert since the engine started. Empty if not reported.
    std::vector<double> expert_tokens;
    /// Mean time of a step on this rank, excluding the time spent waiting for other ranks.
    std::chrono::nanoseconds rank_step_time{};
};

/// Parses the body of a GET /status response. Returns errc::malformed if it is not JSON.
core::result<endpoint_status> parse_status(std::string_view text);

} // namespace currantpitch::endpoints
