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

/// Options of an engine group.
struct engine_group_options {
    std::size_t ranks = 4;
    std::size_t experts = 16;
    std::chrono::milliseconds step_time{5};
    bool checks_fencing = true;
    /// Time for which a rank closes all connections after a crash.
    std::chrono::milliseconds restart_time{700};
    /// Age of the data in status reports.
    std::chrono::milliseconds report_lag{50};
    /// Whether a rank loses its state in a crash and blocks the steps until an adopt order.
    bool ranks_lose_state = true;
};

/// State of one rank of a group, including the orders that it has accepted.
struct engine_rank {
    std::uint64_t incarnation = 1;
    std::uint64_t active_map = 1;
    std::optional<std::uint64_t> staged_map;
    /// A map that is prepared to become active at a step, committed or not.
    struct prepared_map {
        std::uint64_t version = 0;
        std::uint64_t step = 0;
        bool committed = false;
    };
    std::optional<prepared_map> prepared;
    /// The rank has restarted after a crash and waits for an adopt order.
    bool fresh = false;
    std::uint64_t max_fence = 0;
    std::uint64_t running = 0;
    std::vector<double> expert_tokens;
    core::time_point down_until;
    /// Multiplies the step time.
    double step_time_factor = 1;
};

/// Fake ranks of a model engine that advance in lock-step. Each running request gets one token per
/// step. A step begins only if no rank waits for the outcome of a map switch at that step or for an
/// adopt order. A prompt that contains "crash-the-engine" crashes the rank that runs it.
class engine_group {
public:
    engine_group(const core::asio::any_io_executor& executor, engine_group_options options);

    /// Runs the steps of the group until the process exits.
    core::task<void> run_steps();
    /// Serves the HTTP interface of one rank.
    core::task<void> handle(std::size_t rank, http::server_connection& connection,
                            const http::request& received);

    /// Executes an order and returns the HTTP status and the body of the answer.
    std::pair<unsigned, std::string> order(std::size_t rank, const std::string& body);
    /// Returns the status report of a rank as JSON.
    std::string status(std::size_t rank) const;
    /// Crashes a rank. Its streams are cut off. It loses its state if ranks_lose_state is set.
    void kill(std::size_t rank);

    std::vector<engine_rank> ranks;
    std::uint64_t step = 0;
    /// Number of steps in which two ranks used different maps. Must stay zero.
    std::uint64_t mismatched_steps = 0;
    /// Number of step intervals that passed without a step because a rank waited for the outcome of
    /// a switch or for an adopt order.
    std::uint64_t stalled_steps = 0;
    std::uint64_t crashes = 0;

private:
    core::task<void> serve_completion(std::size_t rank, http::server_connection& connection,
                                      const http::request& received);
    void begin_step();
    bool step_blocked() const;

    engine_group_options options_;
    core::notifier step_done_;
};

/// Returns the token at an offset of the answer to a prompt. It is the same on every rank.
std::string token_at(const std::string& prompt, std::uint64_t offset);

} // namespace currantpitch::fakes
