#pragma once

#include <chrono>

namespace currantpitch::ctl {

/// Exit codes of the command-line tool.
enum exit_code {
    exit_ok = 0,
    exit_failed = 1,    ///< the server refused or could not be reached
    exit_invalid = 2,   ///< the input has findings
    exit_conflict = 3,  ///< somebody else changed the resource
    exit_not_found = 4, ///< there is no such resource
    exit_unknown = 5,   ///< the outcome of a write is not known
};

/// Time for one exchange with the server.
inline constexpr std::chrono::seconds exchange_timeout{15};
/// Address of the server when none is named.
inline constexpr const char* default_server = "127.0.0.1:8101";

} // namespace currantpitch::ctl
