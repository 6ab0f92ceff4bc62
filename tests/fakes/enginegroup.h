#pragma once

#include "core/notifier.h"
#include "core/task.h"
#include "http/serverconnection.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace currantpitch::fakes {

/// How a group behaves.
struct engine_group_options {
    std::size_t ranks = 4;
    std::size_t experts = 16;
    std::chrono::milliseconds step_time{5};
    bool checks_fencing = true;
    /// Time for which a rank that died refuses everything.
    std::chrono::milliseconds restart_time{700};
    /// Age of the figures in status reports.
    std::chrono::milliseconds report_lag{50};
    /// A rank that died waits for an adopt order before it goes on.
    bool ranks_lose_state = true;
};

/// One rank of a group and what it has been ordered.
struct engine_rank {
    std::uint64_t incarnation = 1;
    std::uint64_t active_map = 1;
    std::optional<std::uint64_t> staged_map;
    /// A map that is prepared for a step and neither committed nor aborted.
    struct prepared_map {
        std::uint64_t version = 0;
        std::uint64_t step = 0;
        bool committed = false;
    };
    std::optional<prepared_map> prepared;
    /// The rank died and waits for its group's state.
    bool fresh = false;
    std::uint64_t highest_fence = 0;
    std::uint64_t running = 0;
    std::vector<double> expert_tokens;
    core::time_point down_until;
    double slowness = 1;
};

/// Ranks of a model engine that advance in lock-step. Each running request gets one token a step.
/// A step begins when no rank waits for the outcome of a map switch at that step. A prompt that
/// contains "crash-the-engine" ends the rank that runs it.
class engine_group {
public:
    engine_group(const core::asio::any_io_executor& executor, engine_group_options options);

    /// Advances the group's steps until the process ends.
    core::task<void> run_steps();
    /// Serves the HTTP interface of one rank.
    core::task<void> handle(std::size_t rank, http::server_connection& connection,
                            const http::request& received);

    /// Carries out an order and returns the status and text of the answer.
    std::pair<unsigned, std::string> order(std::size_t rank, const std::string& body);
    std::string status(std::size_t rank) const;
    /// Ends the process of a rank: its streams break and its state is lost.
    void kill(std::size_t rank);

    std::vector<engine_rank> ranks;
    std::uint64_t step = 0;
    /// Steps in which two ranks used different maps. Must stay zero.
    std::uint64_t mismatched_steps = 0;
    /// Step times lost while a rank waited for the outcome of a switch.
    std::uint64_t stalled_steps = 0;
    std::uint64_t crashes = 0;

private:
    core::task<void> complete(std::size_t rank, http::server_connection& connection,
                              const http::request& received);
    void begin_step();
    bool held() const;

    engine_group_options options_;
    core::notifier step_done_;
};

/// The token at an offset of the answer to a prompt: the same on every rank.
std::string token_at(const std::string& prompt, std::uint64_t offset);

} // namespace currantpitch::fakes
