#pragma once

#include "core/error.h"
#include "core/task.h"
#include "core/timer.h"
#include "http/httpmessage.h"

#include <memory>

namespace currantpitch::http {

/// A connection to an HTTP server that carries one exchange at a time. The caller sets the deadline
/// of each operation. A connection that is closed or destroyed before an answer has been read
/// completely is reset, so that the server does not begin a request that nobody waits for.
class client_connection {
public:
    explicit client_connection(const core::asio::any_io_executor& executor);
    client_connection(client_connection&&) noexcept;
    client_connection& operator=(client_connection&&) noexcept;
    ~client_connection();

    core::task<core::result<void>> connect(core::asio::ip::tcp::endpoint address,
                                           core::time_point deadline);
    /// Enables TCP keepalive probes at the interval while the connection is idle. The connection is
    /// closed after that many unanswered probes.
    void enable_keepalive_probes(std::chrono::seconds interval, int probes);
    bool is_open() const;
    void close();

    /// Sends the request and reads the complete response. On an error the connection is closed and
    /// it is unknown whether the server processed the request.
    core::task<core::result<response>> exchange(request message, core::time_point deadline);

    /// Sends the request; the response is read with read_head. On an error the server may have
    /// received a part or all of the request.
    core::task<core::result<void>> send(request message, core::time_point deadline);
    /// The same with a body that the message does not own. It must stay valid until the task ends.
    core::task<core::result<void>> send(request head, std::string_view body,
                                        core::time_point deadline);
    /// Reads the head of the next response; its body is read with read_some.
    core::task<core::result<response>> read_head(core::time_point deadline);
    /// Reads the rest of the body. errc::too_large when it exceeds max_bytes, errc::closed when it
    /// was truncated. A body without a stated length is complete only if the server closed the
    /// connection cleanly.
    core::task<core::result<std::string>> read_rest(std::size_t max_bytes,
                                                    core::time_point deadline);
    /// Whether the last response was read completely, no bytes follow it and the server keeps the
    /// connection open.
    bool reusable() const;
    /// Whether an idle connection has received neither data nor the end of the stream.
    bool still_idle() const;
    /// Whether bytes have arrived that have not been read. A process that is short of processor
    /// time reads them late.
    bool has_unread_bytes() const;
    /// Sends the request and reads the head of the response; its body is read with read_some.
    core::task<core::result<response>> open_stream(request message, core::time_point deadline);
    /// Reads further bytes of the body; empty at the end of the body. errc::closed when it was
    /// truncated.
    core::task<core::result<std::string>> read_some(core::time_point deadline);

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

/// Splits a stream of server-sent events or a newline-separated stream into records.
class record_splitter {
public:
    explicit record_splitter(std::string separator) : separator_(std::move(separator)) {}
    void add(std::string_view bytes) { buffer_.append(bytes); }
    /// Removes and returns the next complete record without its separator; nothing if more bytes
    /// are needed.
    std::optional<std::string> next();

private:
    std::string separator_;
    std::string buffer_;
};

} // namespace currantpitch::http
