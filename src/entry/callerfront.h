#pragma once

#include "entry/entrypeers.h"
#include "entry/generation.h"
#include "entry/plaincall.h"
#include "entry/resourcefront.h"

namespace currantpitch::entry {

/// Everything that callers and operators reach over HTTP on one entry.
class caller_front {
public:
    caller_front(entry_context& context, agent_directory& agents, entry_peers& peers,
                 call_runner& calls, resource_front& resources);

    core::task<void> operator()(http::server_connection& connection, const http::request& received);

    /// Passes on grants and expiries of waiting requests.
    void settle_waits();

private:
    /// What all requests of callers have in common.
    struct checked_request {
        core::workspace_id workspace;
        core::service_id service;
        core::time_point deadline;
        int priority = 0;
    };

    core::task<void> dispatch(http::server_connection& connection, const http::request& received);
    http::response addresses(const http::request& received) const;
    http::response health(const http::request& received) const;
    core::result<checked_request> check(const http::request& received,
                                        const std::optional<core::service_id>& service,
                                        intents::endpoint_role role, http::response& refusal) const;
    core::task<void> generate(http::server_connection& connection, const http::request& received);
    core::task<void> call(http::server_connection& connection, const http::request& received);
    core::task<core::result<admission::admission_kind>> admit(const checked_request& request,
                                                              http::response& refusal);
    http::response stopping_answer(const core::workspace_id& workspace) const;
    http::response answer_of(const actions::action_result& result) const;

    entry_context& context_;
    agent_directory& agents_;
    entry_peers& peers_;
    call_runner& calls_;
    resource_front& resources_;
    crash_sharing sharing_;
};

} // namespace currantpitch::entry
