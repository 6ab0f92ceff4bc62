#pragma once

#include "sessions/sessionmessages.h"

#include <map>
#include <set>
#include <vector>

namespace currantpitch::sessions {

/// What an entry may conclude about an attempt after it reached the agent again.
enum class verdict_kind {
    never_started, ///< proven by the agent's list: it never started and never will
    fenced,        ///< it had started; it is being stopped (generation) or still runs (call)
    ended,         ///< it had ended; the end is given
    lost,          ///< the agent has another incarnation: nothing can be proven
};

struct verdict {
    core::attempt_number number;
    verdict_kind kind = verdict_kind::lost;
    std::optional<work_end> end;
};

/// The attempts of one entry at one agent: numbers, epochs and conclusions.
class attempt_book {
public:
    /// Numbers the next session. Frames of lower epochs mean nothing from here on.
    core::epoch begin_session();
    core::epoch epoch() const { return epoch_; }
    /// The agent's incarnation in the present session; zero before the first acknowledgement.
    core::incarnation agent() const { return agent_; }

    /// Draws up conclusions for all attempts of earlier sessions from the agent's answer.
    std::vector<verdict> on_ack(const hello_ack& ack);

    /// Numbers an attempt and counts it as sent in the present session.
    core::attempt_number next_attempt();
    /// Whether frames about this attempt are expected.
    bool outstanding(core::attempt_number number) const { return open_.contains(number); }
    /// The entry needs nothing more about the attempt.
    void settle(core::attempt_number number);

    core::attempt_number settled_below() const;
    /// Numbers settled since the last call, for the next heartbeat.
    std::vector<core::attempt_number> take_settled();
    std::size_t open_attempts() const { return open_.size(); }

private:
    core::epoch epoch_;
    core::incarnation agent_;
    core::attempt_number last_number_;
    /// Epoch in which each unsettled attempt was sent, and the agent's incarnation then.
    struct sent_in {
        core::epoch epoch;
        core::incarnation agent;
        bool concluded = false;
    };
    std::map<core::attempt_number, sent_in> open_;
    std::vector<core::attempt_number> settled_;
};

} // namespace currantpitch::sessions
