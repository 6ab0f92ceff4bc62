#pragma once

#include "core/error.h"
#include "core/task.h"
#include "core/timer.h"
#include "http/httpmessage.h"

#include <memory>

namespace currantpitch::http {

/// A connection to an HTTP server that carries one exchange at a time. Deadlines are the caller's.
class client_connection {
public:
    explicit client_connection(const core::asio::any_io_executor& executor);
    client_connection(client_connection&&) noexcept;
    client_connection& operator=(client_connection&&) noexcept;
    ~client_connection();

    core::task<core::result<void>> connect(core::asio::ip::tcp::endpoint address,
                                           core::time_point deadline);
    /// Enables keepalive probes on an idle connection at that interval; the connection is closed
    /// after that many unanswered probes.
    void enable_keepalive_probes(std::chrono::seconds interval, int probes);
    bool is_open() const;
    void close();

    /// Sends the request and reads the whole response. On an error the connection is closed, and
    /// whether the server acted is not known.
    core::task<core::result<response>> exchange(request message, core::time_point deadline);

    /// Sends the request; read_head takes the response. On an error the request may have been
    /// received in part or whole.
    core::task<core::result<void>> send(request message, core::time_point deadline);
    /// Reads the head of the next response; its body is read with read_some.
    core::task<core::result<response>> read_head(core::time_point deadline);
    /// The rest of the body, at most that many bytes: errc::too_large beyond. errc::closed when
    /// it was cut off; a body without a stated length is whole only if the connection was ended in
    /// order.
    core::task<core::result<std::string>> read_rest(std::size_t max_bytes,
                                                    core::time_point deadline);
    /// Whether the last response was read whole, nothing follows it and the server keeps the
    /// connection open.
    bool reusable() const;
    /// Whether nothing has arrived on an idle connection, not even its end.
    bool quiet() const;
    /// Sends the request and reads the head of the response; its body is read with read_some.
    core::task<core::result<response>> open_stream(request message, core::time_point deadline);
    /// Further bytes of the body; empty at its proper end. errc::closed when it was cut off.
    core::task<core::result<std::string>> read_some(core::time_point deadline);

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

/// Cuts a server-sent event stream or newline-separated stream into its records.
class record_splitter {
public:
    explicit record_splitter(std::string separator) : separator_(std::move(separator)) {}
    void add(std::string_view bytes) { buffer_.append(bytes); }
    /// The next whole record without its separator; nothing until more bytes come.
    std::optional<std::string> next();

private:
    std::string separator_;
    std::string buffer_;
};

} // namespace currantpitch::http
