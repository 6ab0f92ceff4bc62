#pragma once

#include "core/error.h"
#include "core/notifier.h"
#include "core/task.h"

#include <cstddef>
#include <deque>
#include <string>

namespace currantpitch::wire {

/// A TCP connection between two processes of the system that carries frames. One task reads and one
/// writes; send may be called by any task of the thread.
class framed_connection {
public:
    explicit framed_connection(core::asio::ip::tcp::socket socket);

    /// Reads the payload of the next frame. errc::closed at the end of the stream, errc::malformed
    /// for an unknown version or a length of zero, errc::too_large over max_frame_bytes.
    core::task<core::result<std::string>> receive();

    /// Queues a frame. Returns false when the connection is closed, the payload is too large or the
    /// queue is full. The last two cases close the connection. A full queue means that the peer no
    /// longer reads.
    bool send(std::string payload);

    /// Writes queued frames until the connection closes.
    core::task<void> write_loop();

    void close();
    bool closed() const { return closed_; }
    /// When the last frame arrived.
    core::time_point last_received() const { return last_received_; }
    /// When the last frame was queued.
    core::time_point last_queued() const { return last_queued_; }
    /// Bytes written and read on this connection, including frame headers.
    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t bytes_received() const { return bytes_received_; }

private:
    core::asio::ip::tcp::socket socket_;
    core::notifier queue_changed_;
    std::deque<std::string> queue_;
    std::size_t queued_bytes_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    core::time_point last_received_;
    core::time_point last_queued_;
    bool closed_ = false;
};

/// Connects to the address; errc::unavailable when the connection fails, for example because no
/// process listens there, errc::timeout at the deadline.
core::task<core::result<core::asio::ip::tcp::socket>> connect(core::asio::ip::tcp::endpoint address,
                                                              core::time_point deadline);

/// Writes the queued frames and returns the payload of the first frame that arrives; errc::timeout
/// at the deadline.
core::task<core::result<std::string>> receive_first(framed_connection& connection,
                                                    core::time_point deadline);

/// Opens a listener on the address; errc::unavailable when the address cannot be used.
core::result<void> open_listener(core::asio::ip::tcp::acceptor& acceptor,
                                 const core::asio::ip::tcp::endpoint& address);

/// Parses "a.b.c.d:port"; errc::invalid_argument otherwise.
core::result<core::asio::ip::tcp::endpoint> parse_address(const std::string& text);

} // namespace currantpitch::wire
