#pragma once

#include <chrono>

namespace currantpitch::ctl {

/// Exit codes of the command-line tool.
enum exit_code {
    exit_ok = 0,
    exit_failed = 1,    ///< the server rejected the request or could not be reached
    exit_invalid = 2,   ///< the input is invalid
    exit_conflict = 3,  ///< the resource was changed concurrently
    exit_not_found = 4, ///< the resource does not exist
    exit_unknown = 5,   ///< the outcome of a write is unknown
};

/// Timeout for a request and its response.
inline constexpr std::chrono::seconds exchange_timeout{15};
/// Address of the server if none is specified.
inline constexpr const char* default_server = "127.0.0.1:8101";

} // namespace currantpitch::ctl
