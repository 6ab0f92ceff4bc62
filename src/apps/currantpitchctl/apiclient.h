#pragma once

#include "core/error.h"
#include "core/task.h"
#include "http/clientconnection.h"

#include <functional>
#include <string>
#include <vector>

namespace currantpitch::ctl {

/// Client of the resource API. Uses the first server in the list that accepts a connection.
class api_client {
public:
    explicit api_client(std::vector<std::string> servers) : servers_(std::move(servers)) {}

    /// Sends a request and returns the response. The next server is tried only if connecting to the
    /// previous one failed. A request that may have reached a server is not sent to another one,
    /// since it may change something.
    core::result<http::response> exchange(http::request request);
    /// Sends a request and passes the lines of the response to on_line until the stream ends or
    /// on_line returns false.
    core::result<void> stream(http::request request,
                              const std::function<bool(const std::string&)>& on_line);

private:
    core::task<core::result<http::response>> do_exchange(http::request request);
    core::task<core::result<void>>
    do_stream(http::request request, const std::function<bool(const std::string&)>& on_line);
    core::task<core::result<http::client_connection>> connect();

    std::vector<std::string> servers_;
};

} // namespace currantpitch::ctl
