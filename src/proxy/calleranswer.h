#pragma once

#include "http/serverconnection.h"
#include "proxy/eventstream.h"

#include <optional>

namespace currantpitch::proxy {

/// The answer to one request on its caller's connection. Streams of several attempts are joined
/// into one answer, with the head of the first.
class caller_answer {
public:
    caller_answer(http::server_connection& caller, std::optional<std::uint64_t> last_event_id,
                  core::time_point arrived)
        : caller_(caller), arrived_(arrived), events_(last_event_id)
    {
    }
    caller_answer(const caller_answer&) = delete;
    caller_answer& operator=(const caller_answer&) = delete;

    event_sequence& events() { return events_; }
    const event_sequence& events() const { return events_; }

    /// Sends the unsent events, preceded by the answer's head if that has not been sent yet.
    /// Returns false if the caller has disconnected.
    core::task<bool> send_events(const http::response& head);
    /// Ends the stream. Returns false if the caller has disconnected.
    core::task<bool> end_stream();
    /// Sends an endpoint's complete answer.
    core::task<void> forward(http::response answer);
    /// Sends an answer that the proxy itself generated.
    core::task<void> reply(http::response answer);
    /// Closes the connection. Without the last chunk, the caller cannot mistake the answer for a
    /// complete one.
    void abort() { caller_.close(); }

    /// Whether part of the answer has been sent.
    bool begun() const { return begun_; }
    /// Whether a write is in progress. It must not be cancelled in the middle of an event.
    bool writing() const { return writing_; }
    bool caller_lost() const { return caller_lost_; }
    /// Time from the request's arrival to the first byte of an endpoint's answer. Empty before it.
    std::optional<core::duration> time_to_first_byte() const { return time_to_first_byte_; }

private:
    core::task<core::result<void>> begin(const http::response& head);

    http::server_connection& caller_;
    core::time_point arrived_;
    event_sequence events_;
    bool begun_ = false;
    bool writing_ = false;
    bool caller_lost_ = false;
    std::optional<core::duration> time_to_first_byte_;
};

} // namespace currantpitch::proxy
