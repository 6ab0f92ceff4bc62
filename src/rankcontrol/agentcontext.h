#pragma once

#include "core/eventlog.h"
#include "core/task.h"
#include "rankcontrol/rankstate.h"
#include "routes/routetable.h"
#include "settings/nodesettings.h"

#include <optional>
#include <string_view>

namespace currantpitch::rankcontrol {

/// What the parts of one agent share.
struct agent_context {
    agent_context(core::asio::any_io_executor e, settings::node_settings s)
        : executor(std::move(e)), settings(std::move(s)), started(core::runtime_clock::now())
    {
    }
    agent_context(const agent_context&) = delete;
    agent_context& operator=(const agent_context&) = delete;

    /// Obeys no leader below that term from now on.
    void promise(term t, std::string_view to)
    {
        if (t <= promised) {
            return;
        }
        core::log_event("group_leader")
            .field("term", t)
            .field("before", promised)
            .field("leader", to);
        promised = t;
    }

    core::asio::any_io_executor executor;
    settings::node_settings settings;
    core::time_point started;
    /// What the configuration says of the service's engines.
    std::optional<routes::engine_profile> profile;
    /// Longest pause between the events of the service's streams that is on time.
    std::chrono::milliseconds target_gap{1000};
    term promised;
    /// The highest term of the store is known; no leader is obeyed before.
    bool fence_known = false;
    /// The candidate whose term is promised.
    std::optional<settings::address> leader;
    bool stopping = false;
};

} // namespace currantpitch::rankcontrol
