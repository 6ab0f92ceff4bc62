#pragma once

#include "core/error.h"
#include "core/notifier.h"
#include "core/task.h"

#include <cstddef>
#include <deque>
#include <string>

namespace currantpitch::wire {

/// A TCP connection between two of our processes that carries frames. One task reads, one writes;
/// send may be called by any task of the thread.
class framed_connection {
public:
    explicit framed_connection(core::asio::ip::tcp::socket socket);

    /// Payload of the next frame. errc::closed at the end of the stream, errc::malformed for an
    /// unknown version or a length of zero, errc::too_large over max_frame_bytes.
    core::task<core::result<std::string>> receive();

    /// Queues a frame. False when the connection is closed or its queue is full; a full queue
    /// closes the connection, since the peer no longer reads.
    bool send(std::string payload);

    /// Writes queued frames until the connection closes.
    core::task<void> write_loop();

    void close();
    bool closed() const { return closed_; }
    /// When the last frame arrived.
    core::time_point last_received() const { return last_received_; }
    /// When the last frame was queued.
    core::time_point last_queued() const { return last_queued_; }
    /// Bytes written and read on this connection, frame heads included.
    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t bytes_received() const { return bytes_received_; }

private:
    core::asio::ip::tcp::socket socket_;
    core::notifier work_;
    std::deque<std::string> queue_;
    std::size_t queued_bytes_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    core::time_point last_received_;
    core::time_point last_queued_;
    bool closed_ = false;
};

/// Connects to the address; errc::unavailable when nobody listens, errc::timeout at the deadline.
core::task<core::result<core::asio::ip::tcp::socket>> connect(core::asio::ip::tcp::endpoint address,
                                                              core::time_point deadline);

/// Writes what is queued and returns the first frame that arrives before the deadline.
core::task<core::result<std::string>> receive_first(framed_connection& connection,
                                                    core::time_point deadline);

/// Opens a listener on the address; errc::unavailable when the address cannot be used.
core::result<void> open_listener(core::asio::ip::tcp::acceptor& acceptor,
                                 const core::asio::ip::tcp::endpoint& address);

/// Parses "a.b.c.d:port"; errc::invalid_argument otherwise.
core::result<core::asio::ip::tcp::endpoint> parse_address(const std::string& text);

} // namespace currantpitch::wire
