#pragma once

#include "core/task.h"
#include "http/serverconnection.h"

#include <map>
#include <string>

namespace currantpitch::fakes {

/// Fake plain service whose POST calls must not be executed twice. Counts the executions of each
/// body.
class plain_service {
public:
    core::task<void> operator()(http::server_connection& connection, const http::request& received);

    /// Number of executions by body of the call.
    std::map<std::string, int> runs;
    /// Duration of each call.
    core::duration delay{};
    /// Number of next calls that are executed but get no answer.
    int responses_to_drop = 0;
};

} // namespace currantpitch::fakes
