#pragma once

#include "actions/actionsconstants.h"
#include "actions/ledger.h"
#include "core/counters.h"
#include "core/eventlog.h"
#include "core/task.h"
#include "sessions/attemptchannel.h"
#include "sessions/sessionmessages.h"

#include <concepts>
#include <memory>
#include <set>

namespace currantpitch::actions {

/// Outcome of a call as reported to the caller.
enum class action_outcome {
    whole,   ///< the call ran once; the reply is included
    not_run, ///< this request did not run the call and never will
    unknown, ///< the call may have run
};

struct action_result {
    action_outcome outcome = action_outcome::unknown;
    std::string reason;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
    /// The reply is one that this or another entry recorded earlier.
    bool replayed = false;
    /// For not_run: the ledger showed that no earlier request with the key has claimed or run the
    /// action. If false, an earlier request may have run it and a retry must use the same key.
    bool no_prior_attempt = false;
};

/// Carries out operations durably: an operation is stored in the platform before it is answered.
/// Errors: errc::unavailable (not applied), errc::timeout (the effect is unknown).
template <class L>
concept action_ledger = requires(L& l, ledger_operation operation, core::time_point deadline)
{
    {
        l.execute(operation, deadline)
        } -> std::same_as<core::task<core::result<ledger_answer>>>;
};

/// Gives a runner access to the agents. choose() returns an agent that may run a call of the
/// service.
template <class A>
concept action_agents = requires(A& a, const action_request& request,
                                 std::set<core::host_id> excluded, core::host_id agent,
                                 sessions::attempt_identity id, sessions::start_work work,
                                 core::time_point deadline)
{
    {
        a.choose(request, excluded)
        } -> std::same_as<std::optional<core::host_id>>;
    {
        a.reserve(agent)
        } -> std::same_as<core::result<sessions::attempt_identity>>;
    {
        a.start_reserved(agent, id, work)
        } -> std::same_as<core::result<std::shared_ptr<sessions::attempt_channel>>>;
    {
        a.resolve_attempt(agent, id, deadline)
        } -> std::same_as<core::task<core::result<sessions::resolution>>>;
    a.settle(agent, id);
};

/// Runs calls with an idempotency key at most once. The claim is durable before the call is sent.
/// A claim of another attempt is replaced only if that attempt is known never to have run.
template <action_ledger Ledger, action_agents Agents>
class action_runner {
public:
    action_runner(const core::asio::any_io_executor& executor, Ledger& ledger, Agents& agents)
        : executor_(executor), ledger_(ledger), agents_(agents)
    {
    }

    core::task<action_result> run(action_request request, core::time_point deadline);

private:
    struct dispatch {
        core::host_id agent;
        sessions::attempt_identity attempt;
    };
    std::optional<dispatch> reserve(const action_request& request);
    static ledger_operation operation_after(const action_id& id, const action_record& record,
                                            const sessions::resolution& resolved,
                                            const dispatch& own_dispatch);
    core::task<action_result> run_claimed(action_request request, dispatch own_dispatch,
                                          core::time_point deadline);
    core::task<std::optional<action_result>> resolve_existing_claim(const action_request& request,
                                                                    action_record record,
                                                                    dispatch own_dispatch,
                                                                    core::time_point deadline);
    core::task<std::optional<action_result>>
    send(const action_request& request, dispatch& own_dispatch, core::time_point deadline);
    core::task<action_result> record_end(action_id id, dispatch own_dispatch,
                                         sessions::work_end end, core::time_point deadline);
    core::task<void> record_with_retries(ledger_operation operation, dispatch own_dispatch);
    core::task<void> watch_late_end(action_id id, dispatch own_dispatch,
                                    std::shared_ptr<sessions::attempt_channel> channel);
    void abandon_claim(const action_id& id, const dispatch& own_dispatch);

    static action_result not_run(std::string reason)
    {
        return {action_outcome::not_run, std::move(reason), 0, {}, {}, false, false};
    }
    static action_result unknown_outcome(std::string reason)
    {
        return {action_outcome::unknown, std::move(reason), 0, {}, {}, false, false};
    }
    /// Result for a call that was not run. The claim of this request proves that no earlier request
    /// ran it.
    static action_result not_run_no_prior_attempt(std::string reason)
    {
        return {action_outcome::not_run, std::move(reason), 0, {}, {}, false, true};
    }
    static action_result replay(const action_record& record);
    static finish_operation finish_of(const action_id& id, const dispatch& own_dispatch,
                                      const sessions::work_end& end);
    static sessions::start_work work_of(const action_request& request, core::time_point deadline);

    core::asio::any_io_executor executor_;
    Ledger& ledger_;
    Agents& agents_;
};

template <action_ledger Ledger, action_agents Agents>
std::optional<typename action_runner<Ledger, Agents>::dispatch>
action_runner<Ledger, Agents>::reserve(const action_request& request)
{
    std::set<core::host_id> excluded;
    std::optional<core::host_id> agent = agents_.choose(request, excluded);
    while (agent) {
        const core::result<sessions::attempt_identity> id = agents_.reserve(*agent);
        if (id) {
            return dispatch{*agent, id.value()};
        }
        excluded.insert(*agent);
        agent = agents_.choose(request, excluded);
    }
    return std::nullopt;
}

template <action_ledger Ledger, action_agents Agents>
core::task<action_result> action_runner<Ledger, Agents>::run(action_request request,
                                                             core::time_point deadline)
{
    const core::result<void> key_valid = check_key(request, core::runtime_clock::wall_now());
    if (!key_valid) {
        co_return not_run(key_valid.error().detail);
    }
    const std::optional<dispatch> own_dispatch = reserve(request);
    if (!own_dispatch) {
        co_return not_run("no agent can run the call");
    }
    const action_id id = id_of(request);
    const claim_operation claim{id, fingerprint_of(request), request.issued_at,
                                own_dispatch->attempt, own_dispatch->agent};
    const core::result<ledger_answer> claimed = co_await ledger_.execute(claim, deadline);
    if (!claimed) {
        // The claim may still take effect, so it is removed before the attempt number is settled.
        abandon_claim(id, *own_dispatch);
        co_return not_run("the ledger cannot be written");
    }
    if (claimed.value().full || !claimed.value().record) {
        agents_.settle(own_dispatch->agent, own_dispatch->attempt);
        co_return not_run("the ledger is full");
    }
    const action_record& record = *claimed.value().record;
    if (record.attempt == own_dispatch->attempt && record.state == record_state::claimed) {
        co_return co_await run_claimed(std::move(request), *own_dispatch, deadline);
    }
    std::optional<action_result> existing_outcome =
        co_await resolve_existing_claim(request, record, *own_dispatch, deadline);
    if (existing_outcome) {
        co_return std::move(*existing_outcome);
    }
    co_return co_await run_claimed(std::move(request), *own_dispatch, deadline);
}

// Resolves a claim of another attempt. Returns nothing if the claim was moved to the attempt of
// this request. Otherwise returns the outcome, and the attempt of this request is settled now or,
// if it may hold the claim, as soon as the claim is removed.
template <action_ledger Ledger, action_agents Agents>
core::task<std::optional<action_result>>
action_runner<Ledger, Agents>::resolve_existing_claim(const action_request& request,
                                                      action_record record, dispatch own_dispatch,
                                                      core::time_point deadline)
{
    const action_id id = id_of(request);
    if (record.fingerprint != fingerprint_of(request)) {
        agents_.settle(own_dispatch.agent, own_dispatch.attempt);
        co_return not_run("the key was used for another call");
    }
    std::optional<action_result> outcome;
    bool reclaim_may_apply = false;
    while (!outcome) {
        if (record.state == record_state::finished) {
            outcome = replay(record);
            break;
        }
        if (record.state == record_state::not_known) {
            outcome = unknown_outcome("an earlier attempt may have run");
            break;
        }
        const core::result<sessions::resolution> resolved =
            co_await agents_.resolve_attempt(record.agent, record.attempt, deadline);
        if (!resolved) {
            outcome = unknown_outcome("the agent of an earlier attempt cannot be reached");
            break;
        }
        if (resolved.value().status == sessions::attempt_status::running) {
            if (core::runtime_clock::now() + running_poll_interval >= deadline) {
                outcome = unknown_outcome("an earlier attempt is running");
                break;
            }
            co_await core::sleep_for(running_poll_interval);
            continue;
        }
        const ledger_operation next = operation_after(id, record, resolved.value(), own_dispatch);
        const core::result<ledger_answer> answer = co_await ledger_.execute(next, deadline);
        if (!answer) {
            reclaim_may_apply = std::holds_alternative<reclaim_operation>(next);
            outcome = reclaim_may_apply ? not_run("the ledger cannot be written")
                                        : unknown_outcome("the ledger cannot be written");
            break;
        }
        if (!answer.value().record) {
            outcome = not_run("the claim of an earlier attempt was removed");
            break;
        }
        record = *answer.value().record;
        if (record.state == record_state::claimed && record.attempt == own_dispatch.attempt) {
            co_return std::nullopt;
        }
    }
    if (reclaim_may_apply) {
        abandon_claim(id, own_dispatch);
    }
    else {
        agents_.settle(own_dispatch.agent, own_dispatch.attempt);
    }
    co_return outcome;
}

// Returns the ledger operation that follows from the status of an earlier attempt that is not
// running.
template <action_ledger Ledger, action_agents Agents>
ledger_operation
action_runner<Ledger, Agents>::operation_after(const action_id& id, const action_record& record,
                                               const sessions::resolution& resolved,
                                               const dispatch& own_dispatch)
{
    const bool ended = resolved.status == sessions::attempt_status::ended;
    const bool never_ran = resolved.status == sessions::attempt_status::never_started ||
                           (ended && resolved.end->state == sessions::end_state::refused);
    if (never_ran) {
        return reclaim_operation{id, record.attempt, own_dispatch.attempt, own_dispatch.agent};
    }
    if (ended && resolved.end->state == sessions::end_state::finished) {
        return finish_of(id, dispatch{record.agent, record.attempt}, *resolved.end);
    }
    return mark_unknown_operation{id, record.attempt};
}

// Sends the claimed call and waits for its end. Moves the claim to another agent as long as no
// attempt has started.
template <action_ledger Ledger, action_agents Agents>
core::task<action_result> action_runner<Ledger, Agents>::run_claimed(action_request request,
                                                                     dispatch own_dispatch,
                                                                     core::time_point deadline)
{
    for (int i = 0; i < max_dispatches; ++i) {
        std::optional<action_result> outcome = co_await send(request, own_dispatch, deadline);
        if (outcome) {
            co_return std::move(*outcome);
        }
        const std::optional<dispatch> next = reserve(request);
        if (!next || core::runtime_clock::now() >= deadline) {
            if (next) {
                agents_.settle(next->agent, next->attempt);
            }
            break;
        }
        const reclaim_operation moved{id_of(request), own_dispatch.attempt, next->attempt,
                                      next->agent};
        const core::result<ledger_answer> answer = co_await ledger_.execute(moved, deadline);
        if (!answer) {
            abandon_claim(id_of(request), *next);
            abandon_claim(id_of(request), own_dispatch);
            co_return not_run("the ledger cannot be written");
        }
        agents_.settle(own_dispatch.agent, own_dispatch.attempt);
        own_dispatch = *next;
        const std::optional<action_record>& record = answer.value().record;
        if (!record) {
            agents_.settle(own_dispatch.agent, own_dispatch.attempt);
            co_return not_run("the claim was removed");
        }
        if (record->state != record_state::claimed || record->attempt != own_dispatch.attempt) {
            // Another entry resolved this attempt as never started and moved the claim to its own
            // attempt.
            std::optional<action_result> existing_outcome =
                co_await resolve_existing_claim(request, *record, own_dispatch, deadline);
            if (existing_outcome) {
                co_return std::move(*existing_outcome);
            }
        }
    }
    abandon_claim(id_of(request), own_dispatch);
    co_return not_run_no_prior_attempt("no agent started the call");
}

// Sends one attempt and waits for its end. Returns nothing if it never started and never will.
template <action_ledger Ledger, action_agents Agents>
core::task<std::optional<action_result>>
action_runner<Ledger, Agents>::send(const action_request& request, dispatch& own_dispatch,
                                    core::time_point deadline)
{
    const core::result<std::shared_ptr<sessions::attempt_channel>> channel = agents_.start_reserved(
        own_dispatch.agent, own_dispatch.attempt, work_of(request, deadline));
    if (!channel) {
        co_return std::nullopt;
    }
    const std::optional<sessions::work_end> end =
        co_await sessions::await_end(channel.value(), deadline);
    if (end && end->state == sessions::end_state::refused) {
        co_return std::nullopt;
    }
    const action_id id = id_of(request);
    if (!end) {
        core::spawn(executor_, watch_late_end(id, own_dispatch, channel.value()));
        co_return unknown_outcome("no answer within the deadline");
    }
    co_return co_await record_end(id, own_dispatch, *end, deadline);
}

template <action_ledger Ledger, action_agents Agents>
core::task<action_result>
action_runner<Ledger, Agents>::record_end(action_id id, dispatch own_dispatch,
                                          sessions::work_end end, core::time_point deadline)
{
    ledger_operation record = mark_unknown_operation{id, own_dispatch.attempt};
    action_result result = unknown_outcome(end.detail.empty() ? "the call failed" : end.detail);
    if (end.state == sessions::end_state::finished) {
        record = finish_of(id, own_dispatch, end);
        result = {action_outcome::whole, {}, end.status, end.content_type, end.body, false, false};
    }
    const core::result<ledger_answer> recorded = co_await ledger_.execute(record, deadline);
    if (recorded) {
        agents_.settle(own_dispatch.agent, own_dispatch.attempt);
    }
    else {
        core::spawn(executor_, record_with_retries(std::move(record), own_dispatch));
    }
    co_return result;
}

// Retries recording an outcome. The agent keeps the outcome until then, since the attempt is not
// settled.
template <action_ledger Ledger, action_agents Agents>
core::task<void> action_runner<Ledger, Agents>::record_with_retries(ledger_operation operation,
                                                                    dispatch own_dispatch)
{
    const core::time_point retry_deadline = core::runtime_clock::now() + retention;
    while (core::runtime_clock::now() < retry_deadline) {
        co_await core::sleep_for(record_retry_interval);
        const core::result<ledger_answer> recorded = co_await ledger_.execute(
            operation, core::runtime_clock::now() + record_retry_interval * 4);
        if (recorded) {
            break;
        }
    }
    agents_.settle(own_dispatch.agent, own_dispatch.attempt);
}

template <action_ledger Ledger, action_agents Agents>
core::task<void>
action_runner<Ledger, Agents>::watch_late_end(action_id id, dispatch own_dispatch,
                                              std::shared_ptr<sessions::attempt_channel> channel)
{
    const std::optional<sessions::work_end> end =
        co_await sessions::await_end(channel, core::runtime_clock::now() + retention);
    ledger_operation record = mark_unknown_operation{id, own_dispatch.attempt};
    if (end && end->state == sessions::end_state::finished) {
        record = finish_of(id, own_dispatch, *end);
    }
    else if (end && end->state == sessions::end_state::refused) {
        record = abandon_operation{id, own_dispatch.attempt};
    }
    co_await record_with_retries(std::move(record), own_dispatch);
}

// Removes a claim of this request whose attempt will never be sent. The attempt stays unsettled
// until the claim is removed, so that the agent can report to other entries that it never started.
template <action_ledger Ledger, action_agents Agents>
void action_runner<Ledger, Agents>::abandon_claim(const action_id& id, const dispatch& own_dispatch)
{
    core::counter_for("actions_given_up_total").add();
    core::spawn(executor_,
                record_with_retries(abandon_operation{id, own_dispatch.attempt}, own_dispatch));
}

template <action_ledger Ledger, action_agents Agents>
action_result action_runner<Ledger, Agents>::replay(const action_record& record)
{
    core::counter_for("actions_replayed_total").add();
    action_result result{action_outcome::whole, {},   record.status, record.content_type,
                         record.body,           true, false};
    if (!record.body_kept) {
        result.reason = "the reply was too long to keep";
    }
    return result;
}

template <action_ledger Ledger, action_agents Agents>
finish_operation action_runner<Ledger, Agents>::finish_of(const action_id& id,
                                                          const dispatch& own_dispatch,
                                                          const sessions::work_end& end)
{
    const bool keep = end.body.size() <= max_recorded_body_bytes;
    return {id, own_dispatch.attempt, end.status, end.content_type, keep ? end.body : "", keep};
}

template <action_ledger Ledger, action_agents Agents>
sessions::start_work action_runner<Ledger, Agents>::work_of(const action_request& request,
                                                            core::time_point deadline)
{
    sessions::start_work work;
    work.kind = sessions::work_kind::call;
    work.workspace = request.workspace;
    work.method = request.method;
    work.path = request.path;
    work.body = request.body;
    work.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - core::runtime_clock::now());
    return work;
}

} // namespace currantpitch::actions
