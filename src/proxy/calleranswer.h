#pragma once

#include "http/serverconnection.h"
#include "proxy/eventstream.h"

#include <optional>

namespace currantpitch::proxy {

/// The answer to one request on its caller's connection. The stream of several attempts is one
/// answer here, with the head of the first.
class caller_answer {
public:
    caller_answer(http::server_connection& caller, std::optional<std::uint64_t> last_event,
                  core::time_point arrived)
        : caller_(caller), arrived_(arrived), events_(last_event)
    {
    }
    caller_answer(const caller_answer&) = delete;
    caller_answer& operator=(const caller_answer&) = delete;

    event_sequence& events() { return events_; }
    const event_sequence& events() const { return events_; }

    /// Sends the events that were taken and not sent yet, after the answer's head if that has not
    /// gone out. False when the caller is gone.
    core::task<bool> send_events(const http::response& head);
    /// Ends the stream. False when the caller is gone.
    core::task<bool> end_stream();
    /// Sends an endpoint's whole answer.
    core::task<void> pass_on(http::response whole);
    /// Sends an answer of the system's own.
    core::task<void> reply(http::response own);
    /// Without its last chunk the answer cannot be taken for whole.
    void cut() { caller_.close(); }

    /// Part of the answer has gone out.
    bool begun() const { return begun_; }
    /// A write is under way, which must not be broken off in the middle of an event.
    bool writing() const { return writing_; }
    bool caller_lost() const { return caller_lost_; }
    /// Time from the request's arrival to the first byte of an endpoint's answer.
    std::optional<core::duration> first_byte() const { return first_byte_; }

private:
    core::task<core::result<void>> begin(const http::response& head);

    http::server_connection& caller_;
    core::time_point arrived_;
    event_sequence events_;
    bool begun_ = false;
    bool writing_ = false;
    bool caller_lost_ = false;
    std::optional<core::duration> first_byte_;
};

} // namespace currantpitch::proxy
