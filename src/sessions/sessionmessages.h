#pragma once

#include "core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace currantpitch::sessions {

/// Message types 1 to 31 are reserved for sessions between entries and agents.
enum message_number : std::uint8_t {
    hello_type = 1,
    hello_ack_type = 2,
    start_work_type = 3,
    cancel_work_type = 4,
    grant_credit_type = 5,
    token_type = 6,
    work_end_type = 7,
    entry_heartbeat_type = 8,
    agent_heartbeat_type = 9,
    resolve_type = 10,
    resolution_type = 11,
};

/// Opens a session of an entry with an agent and fences all lower epochs of the incarnation.
struct hello {
    static constexpr std::uint8_t type = hello_type;
    core::host_id host;
    core::incarnation incarnation;
    core::epoch epoch;
    /// All lower attempt numbers are settled.
    core::attempt_number settled_below;
};
template <class Archive>
void describe(Archive& archive, hello& m)
{
    archive(m.host, m.incarnation, m.epoch, m.settled_below);
}

enum class work_kind { generate, call, last = call };

/// Work for an endpoint. Incarnation and epoch are those of the session that it is sent in.
struct start_work {
    static constexpr std::uint8_t type = start_work_type;
    core::attempt_number number;
    work_kind kind = work_kind::generate;
    core::workspace_id workspace;
    /// Generation: the request's JSON. Call: the body as received.
    std::string body;
    /// Call only: HTTP method and path.
    std::string method;
    std::string path;
    /// Generation only: tokens that the caller already has.
    std::uint64_t resume_from = 0;
    /// Generation only: tokens that may be sent without further credit.
    std::uint64_t window = 0;
    /// Time left until the request's deadline.
    std::chrono::milliseconds time_left{};
    /// The work must be refused if another isolated request is running.
    bool isolated = false;
    /// The workspace exceeds its fair share: the work is refused when few slots are left.
    bool borrowed = false;
};
template <class Archive>
void describe(Archive& archive, start_work& m)
{
    archive(m.number, m.kind, m.workspace, m.body, m.method, m.path, m.resume_from, m.window,
            m.time_left, m.isolated, m.borrowed);
}

/// The caller no longer wants the answer. A call that has started is not stopped.
struct cancel_work {
    static constexpr std::uint8_t type = cancel_work_type;
    core::attempt_number number;
};
template <class Archive>
void describe(Archive& archive, cancel_work& m)
{
    archive(m.number);
}

/// Allows the agent to send the given number of further tokens.
struct grant_credit {
    static constexpr std::uint8_t type = grant_credit_type;
    core::attempt_number number;
    std::uint64_t tokens = 0;
};
template <class Archive>
void describe(Archive& archive, grant_credit& m)
{
    archive(m.number, m.tokens);
}

/// One token of an answer; offset counts from the start of the answer.
struct token {
    static constexpr std::uint8_t type = token_type;
    core::attempt_number number;
    std::uint64_t offset = 0;
    std::string text;
};
template <class Archive>
void describe(Archive& archive, token& m)
{
    archive(m.number, m.offset, m.text);
}

enum class end_state {
    finished,  ///< ran to its end; the answer is complete
    refused,   ///< never started and never will
    failed,    ///< may have run; the outcome is unknown
    crashed,   ///< the endpoint crashed or restarted while running it
    cancelled, ///< stopped on request or by a newer epoch
    last = cancelled,
};

/// How an attempt ended.
struct work_end {
    static constexpr std::uint8_t type = work_end_type;
    core::attempt_number number;
    end_state state = end_state::failed;
    std::string detail;
    /// Call: the endpoint's answer.
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
    /// Generation: number of tokens of the complete answer and their checksum.
    std::uint64_t count = 0;
    std::uint64_t checksum = 0;
    /// Incarnation of the endpoint that ran the work.
    core::incarnation endpoint_incarnation;
    /// Refusals only: time after which another attempt may be accepted.
    std::chrono::milliseconds retry_after{};
};
template <class Archive>
void describe(Archive& archive, work_end& m)
{
    archive(m.number, m.state, m.detail, m.status, m.content_type, m.body, m.count, m.checksum,
            m.endpoint_incarnation, m.retry_after);
}

/// State of a started attempt at its agent. The attempt is running if it has no end.
struct attempt_report {
    core::attempt_number number;
    std::optional<work_end> end;
};
template <class Archive>
void describe(Archive& archive, attempt_report& m)
{
    archive(m.number, m.end);
}

/// Answers hello. Lists all attempts of lower epochs that have started and are not settled.
struct hello_ack {
    static constexpr std::uint8_t type = hello_ack_type;
    core::host_id host;
    core::incarnation incarnation;
    /// The epoch was not above the highest known one; the session is refused.
    bool stale = false;
    std::vector<attempt_report> started;
};
template <class Archive>
void describe(Archive& archive, hello_ack& m)
{
    archive(m.host, m.incarnation, m.stale, m.started);
}

/// Heartbeat of an entry, with the attempts that it has settled.
struct entry_heartbeat {
    static constexpr std::uint8_t type = entry_heartbeat_type;
    core::attempt_number settled_below;
    /// Attempts above settled_below that were settled since the last heartbeat.
    std::vector<core::attempt_number> settled;
};
template <class Archive>
void describe(Archive& archive, entry_heartbeat& m)
{
    archive(m.settled_below, m.settled);
}

/// Load of the agent's endpoint.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t concurrency = 0;
    /// Age of the endpoint's figures at the time the report was sent.
    std::chrono::milliseconds age{};
    core::incarnation endpoint_incarnation;
    bool healthy = false;
    bool leaving = false;
    /// Highest configuration version known to the agent.
    core::revision configuration;
};
template <class Archive>
void describe(Archive& archive, load_report& m)
{
    archive(m.running, m.concurrency, m.age, m.endpoint_incarnation, m.healthy, m.leaving,
            m.configuration);
}

/// Heartbeat of an agent, with its endpoint's load.
struct agent_heartbeat {
    static constexpr std::uint8_t type = agent_heartbeat_type;
    load_report load;
};
template <class Archive>
void describe(Archive& archive, agent_heartbeat& m)
{
    archive(m.load);
}

/// Identifies one attempt among all entries and agents.
struct attempt_identity {
    core::incarnation entry;
    core::incarnation agent;
    core::epoch epoch;
    core::attempt_number number;

    friend bool operator==(const attempt_identity&, const attempt_identity&) = default;
};
template <class Archive>
void describe(Archive& archive, attempt_identity& m)
{
    archive(m.entry, m.agent, m.epoch, m.number);
}

/// Queries the status of an attempt of any entry and prevents the attempt from starting later.
struct resolve {
    static constexpr std::uint8_t type = resolve_type;
    std::uint64_t query = 0;
    attempt_identity attempt;
};
template <class Archive>
void describe(Archive& archive, resolve& m)
{
    archive(m.query, m.attempt);
}

enum class attempt_status {
    never_started, ///< has not started and never will
    running,
    ended,
    not_known, ///< the agent has another incarnation or no longer has a record of it
    last = not_known,
};

/// Answers resolve.
struct resolution {
    static constexpr std::uint8_t type = resolution_type;
    std::uint64_t query = 0;
    attempt_status status = attempt_status::not_known;
    std::optional<work_end> end;
};
template <class Archive>
void describe(Archive& archive, resolution& m)
{
    archive(m.query, m.status, m.end);
}

} // namespace currantpitch::sessions
