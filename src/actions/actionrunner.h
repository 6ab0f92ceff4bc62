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

/// What a caller is told of a call.
enum class action_outcome {
    whole,   ///< it ran once; the reply is given
    not_run, ///< this request ran nothing and never will
    unknown, ///< it may have run
};

struct action_result {
    action_outcome outcome = action_outcome::unknown;
    std::string reason;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
    /// The reply was recorded earlier, by this or another entry.
    bool replayed = false;
    /// Not run: the ledger showed that no earlier request with the key holds or ran the action.
    /// Without it, an earlier request may have run, and only the same key may be sent again.
    bool no_prior_attempt = false;
};

/// Carries out operations durably: when it answers, the answer is in the platform. Errors:
/// errc::unavailable (nothing happened), errc::timeout (the effect is not known).
template <class L>
concept action_ledger = requires(L& l, ledger_operation operation, core::time_point deadline)
{
    {
        l.carry_out(operation, deadline)
        } -> std::same_as<core::task<core::result<ledger_answer>>>;
};

/// How a runner reaches agents. choose gives an agent that may run a call of the service.
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

/// Runs calls with an idempotency key at most once. The claim is durable before the call is sent;
/// a claim of somebody else is never overridden on a guess.
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
    static ledger_operation after_fate(const action_id& id, const action_record& record,
                                       const sessions::resolution& fate, const dispatch& mine);
    core::task<action_result> follow(action_request request, dispatch mine,
                                     core::time_point deadline);
    core::task<std::optional<action_result>> settle_foreign(const action_request& request,
                                                            action_record record, dispatch mine,
                                                            core::time_point deadline);
    core::task<std::optional<action_result>> send(const action_request& request, dispatch& mine,
                                                  core::time_point deadline);
    core::task<action_result> conclude(action_id id, dispatch mine, sessions::work_end how,
                                       core::time_point deadline);
    core::task<void> record_later(ledger_operation operation, dispatch mine);
    core::task<void> watch_late_end(action_id id, dispatch mine,
                                    std::shared_ptr<sessions::attempt_channel> channel);
    void give_up(const action_id& id, const dispatch& mine);

    static action_result not_run(std::string reason)
    {
        return {action_outcome::not_run, std::move(reason), 0, {}, {}, false, false};
    }
    static action_result not_known(std::string reason)
    {
        return {action_outcome::unknown, std::move(reason), 0, {}, {}, false, false};
    }
    /// Not run, with our own claim as the proof that no earlier request ran.
    static action_result not_run_at_all(std::string reason)
    {
        return {action_outcome::not_run, std::move(reason), 0, {}, {}, false, true};
    }
    static action_result replay(const action_record& record);
    static finish_operation finish_of(const action_id& id, const dispatch& mine,
                                      const sessions::work_end& how);
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
    const core::result<void> fits = check_key(request, core::runtime_clock::wall_now());
    if (!fits) {
        co_return not_run(fits.error().detail);
    }
    const std::optional<dispatch> mine = reserve(request);
    if (!mine) {
        co_return not_run("no agent can run the call");
    }
    const action_id id = id_of(request);
    const claim_operation claim{id, fingerprint_of(request), request.issued_at, mine->attempt,
                                mine->agent};
    const core::result<ledger_answer> claimed = co_await ledger_.carry_out(claim, deadline);
    if (!claimed) {
        // The claim may take effect later; it is removed before its number can be forgotten.
        give_up(id, *mine);
        co_return not_run("the ledger cannot be written");
    }
    if (claimed.value().full || !claimed.value().record) {
        agents_.settle(mine->agent, mine->attempt);
        co_return not_run("the ledger is full");
    }
    const action_record& record = *claimed.value().record;
    if (record.attempt == mine->attempt && record.state == record_state::claimed) {
        co_return co_await follow(std::move(request), *mine, deadline);
    }
    std::optional<action_result> foreign =
        co_await settle_foreign(request, record, *mine, deadline);
    if (foreign) {
        co_return std::move(*foreign);
    }
    co_return co_await follow(std::move(request), *mine, deadline);
}

// Finds out what became of somebody else's claim. Without a result, the claim is now ours;
// otherwise the reserved attempt has been released.
template <action_ledger Ledger, action_agents Agents>
core::task<std::optional<action_result>>
action_runner<Ledger, Agents>::settle_foreign(const action_request& request, action_record record,
                                              dispatch mine, core::time_point deadline)
{
    const action_id id = id_of(request);
    if (record.fingerprint != fingerprint_of(request)) {
        agents_.settle(mine.agent, mine.attempt);
        co_return not_run("the key was used for another call");
    }
    std::optional<action_result> outcome;
    bool claim_open = false;
    while (!outcome) {
        if (record.state == record_state::finished) {
            outcome = replay(record);
            break;
        }
        if (record.state == record_state::not_known) {
            outcome = not_known("an earlier attempt may have run");
            break;
        }
        const core::result<sessions::resolution> fate =
            co_await agents_.resolve_attempt(record.agent, record.attempt, deadline);
        if (!fate) {
            outcome = not_known("the agent of an earlier attempt cannot be reached");
            break;
        }
        if (fate.value().fate == sessions::attempt_fate::running) {
            if (core::runtime_clock::now() + running_poll_interval >= deadline) {
                outcome = not_known("an earlier attempt is running");
                break;
            }
            co_await core::sleep_for(running_poll_interval);
            continue;
        }
        const ledger_operation next = after_fate(id, record, fate.value(), mine);
        const core::result<ledger_answer> answer = co_await ledger_.carry_out(next, deadline);
        if (!answer) {
            claim_open = std::holds_alternative<reclaim_operation>(next);
            outcome = claim_open ? not_run("the ledger cannot be written")
                                 : not_known("the ledger cannot be written");
            break;
        }
        if (!answer.value().record) {
            outcome = not_run("the claim of an earlier attempt was removed");
            break;
        }
        record = *answer.value().record;
        if (record.state == record_state::claimed && record.attempt == mine.attempt) {
            co_return std::nullopt;
        }
    }
    if (claim_open) {
        give_up(id, mine);
    }
    else {
        agents_.settle(mine.agent, mine.attempt);
    }
    co_return outcome;
}

// What follows from the fate of an earlier attempt that is not running.
template <action_ledger Ledger, action_agents Agents>
ledger_operation
action_runner<Ledger, Agents>::after_fate(const action_id& id, const action_record& record,
                                          const sessions::resolution& fate, const dispatch& mine)
{
    const bool ended = fate.fate == sessions::attempt_fate::ended;
    const bool never_ran = fate.fate == sessions::attempt_fate::never_started ||
                           (ended && fate.end->state == sessions::end_state::refused);
    if (never_ran) {
        return reclaim_operation{id, record.attempt, mine.attempt, mine.agent};
    }
    if (ended && fate.end->state == sessions::end_state::finished) {
        return finish_of(id, dispatch{record.agent, record.attempt}, *fate.end);
    }
    return mark_unknown_operation{id, record.attempt};
}

// Sends the claimed call and follows it to its end; moves to other agents while it never started.
template <action_ledger Ledger, action_agents Agents>
core::task<action_result> action_runner<Ledger, Agents>::follow(action_request request,
                                                                dispatch mine,
                                                                core::time_point deadline)
{
    for (int i = 0; i < max_dispatches; ++i) {
        std::optional<action_result> outcome = co_await send(request, mine, deadline);
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
        const reclaim_operation moved{id_of(request), mine.attempt, next->attempt, next->agent};
        const core::result<ledger_answer> answer = co_await ledger_.carry_out(moved, deadline);
        if (!answer) {
            give_up(id_of(request), *next);
            give_up(id_of(request), mine);
            co_return not_run("the ledger cannot be written");
        }
        agents_.settle(mine.agent, mine.attempt);
        mine = *next;
        const std::optional<action_record>& record = answer.value().record;
        if (!record) {
            agents_.settle(mine.agent, mine.attempt);
            co_return not_run("the claim was removed");
        }
        if (record->state != record_state::claimed || record->attempt != mine.attempt) {
            // Another entry found that our attempt never started and went on with its own.
            std::optional<action_result> foreign =
                co_await settle_foreign(request, *record, mine, deadline);
            if (foreign) {
                co_return std::move(*foreign);
            }
        }
    }
    give_up(id_of(request), mine);
    co_return not_run_at_all("no agent started the call");
}

// One attempt. Nothing is returned when it never started and never will.
template <action_ledger Ledger, action_agents Agents>
core::task<std::optional<action_result>>
action_runner<Ledger, Agents>::send(const action_request& request, dispatch& mine,
                                    core::time_point deadline)
{
    const core::result<std::shared_ptr<sessions::attempt_channel>> channel =
        agents_.start_reserved(mine.agent, mine.attempt, work_of(request, deadline));
    if (!channel) {
        co_return std::nullopt;
    }
    const std::optional<sessions::work_end> how =
        co_await sessions::await_end(channel.value(), deadline);
    if (how && how->state == sessions::end_state::refused) {
        co_return std::nullopt;
    }
    const action_id id = id_of(request);
    if (!how) {
        core::spawn(executor_, watch_late_end(id, mine, channel.value()));
        co_return not_known("no answer within the deadline");
    }
    co_return co_await conclude(id, mine, *how, deadline);
}

template <action_ledger Ledger, action_agents Agents>
core::task<action_result> action_runner<Ledger, Agents>::conclude(action_id id, dispatch mine,
                                                                  sessions::work_end how,
                                                                  core::time_point deadline)
{
    ledger_operation record = mark_unknown_operation{id, mine.attempt};
    action_result result = not_known(how.detail.empty() ? "the call failed" : how.detail);
    if (how.state == sessions::end_state::finished) {
        record = finish_of(id, mine, how);
        result = {action_outcome::whole, {}, how.status, how.content_type, how.body, false, false};
    }
    const core::result<ledger_answer> recorded = co_await ledger_.carry_out(record, deadline);
    if (recorded) {
        agents_.settle(mine.agent, mine.attempt);
    }
    else {
        core::spawn(executor_, record_later(std::move(record), mine));
    }
    co_return result;
}

// Goes on recording an outcome; until then the agent keeps it, since the attempt is not settled.
template <action_ledger Ledger, action_agents Agents>
core::task<void> action_runner<Ledger, Agents>::record_later(ledger_operation operation,
                                                             dispatch mine)
{
    const core::time_point last_try = core::runtime_clock::now() + retention;
    while (core::runtime_clock::now() < last_try) {
        co_await core::sleep_for(record_retry_interval);
        const core::result<ledger_answer> recorded = co_await ledger_.carry_out(
            operation, core::runtime_clock::now() + record_retry_interval * 4);
        if (recorded) {
            break;
        }
    }
    agents_.settle(mine.agent, mine.attempt);
}

template <action_ledger Ledger, action_agents Agents>
core::task<void>
action_runner<Ledger, Agents>::watch_late_end(action_id id, dispatch mine,
                                              std::shared_ptr<sessions::attempt_channel> channel)
{
    const std::optional<sessions::work_end> how =
        co_await sessions::await_end(channel, core::runtime_clock::now() + retention);
    ledger_operation record = mark_unknown_operation{id, mine.attempt};
    if (how && how->state == sessions::end_state::finished) {
        record = finish_of(id, mine, *how);
    }
    else if (how && how->state == sessions::end_state::refused) {
        record = abandon_operation{id, mine.attempt};
    }
    co_await record_later(std::move(record), mine);
}

// Removes a claim of ours that will never be sent. Its number stays unsettled until then, so that
// the agent can tell another entry that it never started.
template <action_ledger Ledger, action_agents Agents>
void action_runner<Ledger, Agents>::give_up(const action_id& id, const dispatch& mine)
{
    core::counter_for("actions_given_up_total").add();
    core::spawn(executor_, record_later(abandon_operation{id, mine.attempt}, mine));
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
finish_operation action_runner<Ledger, Agents>::finish_of(const action_id& id, const dispatch& mine,
                                                          const sessions::work_end& how)
{
    const bool keep = how.body.size() <= max_recorded_body_bytes;
    return {id, mine.attempt, how.status, how.content_type, keep ? how.body : "", keep};
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
