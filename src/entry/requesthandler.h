#pragma once

#include "entry/entrypeers.h"
#include "entry/generation.h"
#include "entry/plaincall.h"
#include "entry/resourceapi.h"

namespace currantpitch::entry {

/// Handles the HTTP requests that callers and operators send to one entry.
class request_handler {
public:
    request_handler(entry_context& context, agent_directory& agents, entry_peers& peers,
                    call_runner& calls, resource_api& resources);

    core::task<void> operator()(http::server_connection& connection, const http::request& received);

    /// Resumes waiting requests that were granted admission or have expired.
    void process_waiting_requests();

private:
    /// Properties common to all requests of callers, after validation.
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
    resource_api& resource_api_;
    crash_listener crash_listener_;
};

} // namespace currantpitch::entry
