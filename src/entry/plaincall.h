#pragma once

#include "actions/actionrunner.h"
#include "entry/agentdirectory.h"
#include "entry/ledgerdirectory.h"

namespace currantpitch::entry {

/// Gives action runners access to the agents of an entry.
class entry_agents {
public:
    entry_agents(entry_context& context, agent_directory& agents)
        : context_(context), agents_(agents)
    {
    }

    std::optional<core::host_id> choose(const actions::action_request& request,
                                        const std::set<core::host_id>& excluded);
    core::result<sessions::attempt_identity> reserve(const core::host_id& agent);
    core::result<std::shared_ptr<sessions::attempt_channel>>
    start_reserved(const core::host_id& agent, const sessions::attempt_identity& id,
                   sessions::start_work work);
    core::task<core::result<sessions::resolution>>
    resolve_attempt(core::host_id agent, sessions::attempt_identity id, core::time_point deadline);
    void settle(const core::host_id& agent, const sessions::attempt_identity& id);

private:
    entry_context& context_;
    agent_directory& agents_;
    /// Endpoint and service of a call that was sent and is not yet settled.
    struct sent_call {
        core::service_id service;
        core::endpoint_id endpoint;
    };
    std::map<std::pair<core::host_id, core::attempt_number>, sent_call> sent_calls_;
};

/// Runs calls to plain services. A call with a key runs at most once over all entries. A call
/// without a key runs at most once for each time that it is received.
class call_runner {
public:
    call_runner(entry_context& context, agent_directory& agents, ledger_directory& ledger)
        : agents_(context, agents), keyed_runner_(context.executor, ledger, agents_)
    {
    }

    core::task<actions::action_result> run_with_key(actions::action_request request,
                                                    core::time_point deadline)
    {
        return keyed_runner_.run(std::move(request), deadline);
    }
    core::task<actions::action_result> run_without_key(actions::action_request request,
                                                       core::time_point deadline);

private:
    entry_agents agents_;
    actions::action_runner<ledger_directory, entry_agents> keyed_runner_;
};

} // namespace currantpitch::entry
