#pragma once

#include "core/notifier.h"
#include "sessions/attempttracker.h"
#include "sessions/sessionmessages.h"

#include <deque>
#include <memory>
#include <variant>

namespace currantpitch::sessions {

/// The session has ended and the outcome of the attempt is not known yet.
struct session_lost {};

using attempt_event = std::variant<token, work_end, attempt_conclusion, session_lost>;

/// Passes the events of one attempt from the agent's link to the task that waits for them. The
/// credit granted by the task bounds the number of queued events.
class attempt_channel {
public:
    attempt_channel(const core::asio::any_io_executor& executor, attempt_identity id)
        : changed_(executor), identity_(id)
    {
    }

    const attempt_identity& identity() const { return identity_; }

    void push(attempt_event event);
    /// Returns the next event, or nothing if the deadline passes first.
    core::task<std::optional<attempt_event>> next(core::time_point deadline);

private:
    core::notifier changed_;
    attempt_identity identity_;
    std::deque<attempt_event> events_;
};

/// Waits for the end of an attempt and discards its tokens. Conclusions drawn after a reconnection
/// are converted to ends. Returns nothing if the deadline passes first.
core::task<std::optional<work_end>> await_end(std::shared_ptr<attempt_channel> channel,
                                              core::time_point deadline);

} // namespace currantpitch::sessions
