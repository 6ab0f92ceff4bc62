#pragma once

#include "core/error.h"
#include "core/task.h"
#include "http/clientconnection.h"

#include <functional>
#include <string>
#include <vector>

namespace currantpitch::ctl {

/// Talks to the resource API of the first entry that answers.
class api_client {
public:
    explicit api_client(std::vector<std::string> servers) : servers_(std::move(servers)) {}

    /// One exchange. A request that changes something is only sent to another server when the
    /// first could not be reached at all.
    core::result<http::response> exchange(http::request message);
    /// Reads lines of a stream until it ends or the callback returns false.
    core::result<void> stream(http::request message,
                              const std::function<bool(const std::string&)>& on_line);

private:
    core::task<core::result<http::response>> run(http::request message);
    core::task<core::result<void>>
    run_stream(http::request message, const std::function<bool(const std::string&)>& on_line);
    core::task<core::result<http::client_connection>> connect();

    std::vector<std::string> servers_;
};

} // namespace currantpitch::ctl
