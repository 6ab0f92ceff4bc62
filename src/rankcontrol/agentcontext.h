#pragma once

#include "core/eventlog.h"
#include "core/notifier.h"
#include "core/task.h"
#include "rankcontrol/layouthistory.h"
#include "rankcontrol/rankstate.h"
#include "rankcontrol/standstillwatch.h"
#include "routes/routetable.h"
#include "settings/nodesettings.h"

#include <optional>
#include <string_view>

namespace currantpitch::rankcontrol {

/// State shared by the components of one agent.
struct agent_context {
    agent_context(core::asio::any_io_executor e, settings::node_settings s)
        : executor(std::move(e)), settings(std::move(s)), group_changed(executor)
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

    /// Joins the group that the engine reports. The term of the new group is unknown at first. The
    /// promised term is kept, so that it never decreases while this process runs.
    void join(core::group_id joined)
    {
        core::log_event("group_joined")
            .field("service", settings.service)
            .field("group", joined)
            .field("before", group);
        group = std::move(joined);
        joined_at = core::runtime_clock::now();
        fence_known = false;
        leader.reset();
        layouts.clear();
        group_changed.notify();
    }
    group_key own_group() const { return {settings.service, group}; }
    /// Whether an order may be sent to the engine now. An order takes up to some seconds, and the
    /// promised term can change meanwhile.
    bool obeys(const order_origin& origin) const
    {
        return fence_known && origin.group == group && origin.id.term == promised;
    }

    core::asio::any_io_executor executor;
    settings::node_settings settings;
    /// Engine profile of the service from the configuration; empty until it is received.
    std::optional<routes::engine_profile> profile;
    /// Longest gap between two events of a stream of the service that still counts as on time.
    std::chrono::milliseconds target_gap{1000};
    /// Group that the engine belongs to; empty until the engine has reported it.
    core::group_id group;
    core::time_point joined_at;
    /// Is notified when the group changes.
    core::notifier group_changed;
    /// Lowest term whose leader this agent obeys.
    term promised;
    /// Whether the group's highest term has been read from the store. No leader is obeyed before
    /// that.
    bool fence_known = false;
    /// Candidate that leads under the promised term.
    std::optional<settings::address> leader;
    /// Layouts that were ordered for the group.
    layout_history layouts;
    standstill_watch standstill;
    bool stopping = false;
};

} // namespace currantpitch::rankcontrol
