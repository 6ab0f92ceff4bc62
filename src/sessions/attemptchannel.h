#pragma once

#include "core/notifier.h"
#include "sessions/attemptbook.h"
#include "sessions/sessionmessages.h"

#include <deque>
#include <memory>
#include <variant>

namespace currantpitch::sessions {

/// The session ended; what became of the attempt is not known yet.
struct session_lost {};

using attempt_event = std::variant<token, work_end, verdict, session_lost>;

/// Carries what happens to one attempt from the agent's link to the task that waits for it. Its
/// length is bounded by the credit that the task gave.
class attempt_channel {
public:
    attempt_channel(const core::asio::any_io_executor& executor, attempt_identity id)
        : changed_(executor), identity_(id)
    {
    }

    const attempt_identity& identity() const { return identity_; }

    void push(attempt_event event);
    /// The next event; nothing when the deadline passes first.
    core::task<std::optional<attempt_event>> next(core::time_point deadline);

private:
    core::notifier changed_;
    attempt_identity identity_;
    std::deque<attempt_event> events_;
};

/// The end of an attempt whose tokens nobody wants, with verdicts turned into ends; nothing at the
/// deadline.
core::task<std::optional<work_end>> await_end(std::shared_ptr<attempt_channel> channel,
                                              core::time_point deadline);

} // namespace currantpitch::sessions
