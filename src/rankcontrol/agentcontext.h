#pragma once

#include "core/eventlog.h"
#include "core/task.h"
#include "rankcontrol/rankstate.h"
#include "routes/routetable.h"
#include "settings/nodesettings.h"

#include <optional>
#include <string_view>

namespace currantpitch::rankcontrol {

/// State shared by the components of one agent.
struct agent_context {
    agent_context(core::asio::any_io_executor e, settings::node_settings s)
        : executor(std::move(e)), settings(std::move(s)), started_at(core::runtime_clock::now())
    {
    }
    agent_context(const agent_context&) = delete;
    agent_context& operator=(const agent_context&) = delete;

    /// From now on, rejects leaders with a term below t. A term that is not above the promised one
    /// has no effect. leader_name goes to the log only.
    void promise(term t, std::string_view leader_name)
    {
        if (t <= promised) {
            return;
        }
        core::log_event("group_leader")
            .field("term", t)
            .field("before", promised)
            .field("leader", leader_name);
        promised = t;
    }

    core::asio::any_io_executor executor;
    settings::node_settings settings;
    core::time_point started_at;
    /// Engine profile of the service from the configuration; empty until it is received.
    std::optional<routes::engine_profile> profile;
    /// Longest gap between two events of a stream of the service that still counts as on time.
    std::chrono::milliseconds target_gap{1000};
    /// Lowest term whose leader this agent obeys.
    term promised;
    /// Whether the highest term has been read from the store. No leader is obeyed before that.
    bool fence_known = false;
    /// Candidate that leads under the promised term.
    std::optional<settings::address> leader;
    bool stopping = false;
};

} // namespace currantpitch::rankcontrol
