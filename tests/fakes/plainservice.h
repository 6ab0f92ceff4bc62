#pragma once

#include "core/task.h"
#include "http/serverconnection.h"

#include <map>
#include <string>

namespace currantpitch::fakes {

/// A plain service whose POST calls must not be repeated. Counts how often each body ran.
class plain_service {
public:
    core::task<void> operator()(http::server_connection& connection, const http::request& received);

    /// Runs of each action, by the call's body.
    std::map<std::string, int> runs;
    /// Time that each call takes.
    core::duration delay{};
    /// So many next calls run, but their answer never comes.
    int lose_answers = 0;
};

} // namespace currantpitch::fakes
