#pragma once

#include "sessions/sessionmessages.h"

#include <map>
#include <set>
#include <vector>

namespace currantpitch::sessions {

/// State of an attempt as concluded by its entry after reconnecting to the agent.
enum class conclusion_kind {
    never_started, ///< absent from the agent's list: it never started and never will
    fenced,        ///< it has started; a generation is being stopped, a call still runs
    ended,         ///< it has ended; end is set
    lost,          ///< the agent's incarnation changed, so that its outcome cannot be determined
};

struct attempt_conclusion {
    core::attempt_number number;
    conclusion_kind kind = conclusion_kind::lost;
    std::optional<work_end> end;
};

/// Tracks the attempts of one entry at one agent: their numbers, epochs and outcomes after a
/// reconnection.
class attempt_tracker {
public:
    /// Starts a new epoch for the next session. From then on, frames of lower epochs must be
    /// ignored.
    core::epoch begin_session();
    core::epoch epoch() const { return epoch_; }
    /// The agent's incarnation in the current session. Zero before the first acknowledgement.
    core::incarnation agent() const { return agent_; }

    /// Determines the state of all attempts of earlier sessions from the agent's acknowledgement.
    std::vector<attempt_conclusion> on_ack(const hello_ack& ack);

    /// Assigns the next attempt number and records the attempt as sent in the current session.
    core::attempt_number next_attempt();
    /// Whether the attempt is not settled yet, so that frames about it are expected.
    bool outstanding(core::attempt_number number) const { return open_.contains(number); }
    /// Marks the attempt as settled: the entry needs no further information about it.
    void settle(core::attempt_number number);

    /// Lowest unsettled attempt number: every lower number is settled.
    core::attempt_number settled_below() const;
    /// Returns and clears the numbers settled since the last call, for the next heartbeat.
    std::vector<core::attempt_number> take_settled();
    std::size_t open_attempts() const { return open_.size(); }

private:
    core::epoch epoch_;
    core::incarnation agent_;
    core::attempt_number last_number_;
    /// Epoch in which an unsettled attempt was sent and the agent's incarnation at that time.
    struct sent_attempt {
        core::epoch epoch;
        core::incarnation agent;
        bool concluded = false;
    };
    std::map<core::attempt_number, sent_attempt> open_;
    std::vector<core::attempt_number> settled_;
};

} // namespace currantpitch::sessions
