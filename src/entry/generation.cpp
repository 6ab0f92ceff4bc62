#include "entry/generation.h"

#include "admission/admissionconstants.h"
#include "core/counters.h"
#include "core/eventlog.h"
#include "entry/entryconstants.h"
#include "entry/internal/answerjson.h"
#include "routing/routingconstants.h"
#include "sessions/sessionsconstants.h"

namespace currantpitch::entry {

using sessions::end_state;

namespace {

void count_outcome(std::string_view outcome)
{
    core::counter_for("generations_total", "outcome=\"" + std::string(outcome) + "\"").add();
}

} // namespace

core::task<void> generation::run()
{
    admission::retry_budget& budget = context_.retry_budgets[request_.workspace];
    budget.on_first_attempt();
    service_state& service = context_.service(request_.service);
    int attempts = 0;
    int waits = 0;
    while (attempts < routing::max_attempts && core::runtime_clock::now() < request_.deadline) {
        const admission::suspicion_level suspicion_level =
            context_.crashes.suspicion_of(request_.fingerprint, core::runtime_clock::now());
        if (suspicion_level >= admission::suspicion_level::held) {
            last_reason_ = std::string(admission::to_string(suspicion_level));
            break;
        }
        const bool isolated = suspicion_level == admission::suspicion_level::suspect;
        was_suspect_ = was_suspect_ || isolated;
        const routing::route_request wanted{request_.prefix, excluded_, isolated};
        const std::optional<routing::choice> where =
            service.pool.choose(wanted, core::runtime_clock::now());
        if (!where) {
            // Endpoints that refused a moment ago may have room again.
            excluded_.clear();
            ++waits;
            co_await core::sleep_for(admission::retry_delay(waits, context_.random));
            continue;
        }
        if (something_ran_ && attempts > 0 && !budget.try_acquire_retry()) {
            last_reason_ = "the retry budget is spent";
            break;
        }
        log_choice(*where, isolated, attempts);
        const attempt_result result = co_await attempt(*where, isolated);
        if (result == attempt_result::whole || result == attempt_result::caller_is_gone) {
            count_outcome(result == attempt_result::whole ? "whole" : "caller_gone");
            co_return;
        }
        excluded_.insert(where->endpoint);
        if (result == attempt_result::broken) {
            ++attempts;
        }
        else {
            ++waits;
            co_await core::sleep_for(admission::retry_delay(waits, context_.random));
        }
    }
    co_await refuse();
}

core::task<generation::attempt_result> generation::attempt(const routing::choice& where,
                                                           bool isolated)
{
    sessions::agent_link* const link = agents_.link_of(where.endpoint);
    if (link == nullptr) {
        co_return attempt_result::not_started;
    }
    const std::shared_ptr<sessions::agent_link> keep_alive = link->shared_from_this();
    sessions::start_work work;
    work.kind = sessions::work_kind::generate;
    work.workspace = request_.workspace;
    work.body = request_.body;
    work.resume_from = progress_.delivered();
    work.window = sessions::token_window;
    work.isolated = isolated;
    work.borrowed = request_.borrowed;
    work.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        request_.deadline - core::runtime_clock::now());
    core::result<std::shared_ptr<sessions::attempt_channel>> channel = link->start(std::move(work));
    if (!channel) {
        last_reason_ = channel.error().detail;
        co_return attempt_result::not_started;
    }
    const core::endpoint_id endpoint = where.endpoint;
    service_state& service = context_.service(request_.service);
    service.pool.started(endpoint, isolated);
    last_end_.reset();
    const attempt_result result = co_await follow(*link, channel.value());
    service.pool.finished(endpoint, isolated);
    const core::attempt_number number = channel.value()->identity().number;
    if (!last_end_) {
        link->cancel(number);
    }
    link->settle(number);
    if (last_end_ && last_end_->state == end_state::crashed) {
        note_crash(endpoint, *last_end_, isolated);
    }
    something_ran_ = something_ran_ || result != attempt_result::not_started;
    co_return result;
}

core::task<generation::attempt_result>
generation::follow(sessions::agent_link& link, std::shared_ptr<sessions::attempt_channel> channel)
{
    while (true) {
        const std::optional<sessions::attempt_event> event =
            co_await channel->next(progress_deadline());
        if (!event) {
            last_reason_ = "no progress";
            core::counter_for("attempts_without_progress_total").add();
            co_return attempt_result::broken;
        }
        if (const sessions::token* t = std::get_if<sessions::token>(&*event)) {
            const std::optional<attempt_result> ended = co_await on_token(link, *t);
            if (ended) {
                co_return *ended;
            }
        }
        else if (const sessions::work_end* how = std::get_if<sessions::work_end>(&*event)) {
            last_end_ = *how;
            co_return co_await on_end(*how);
        }
        else {
            // A generation may run twice, so there is no need to wait for the verdict.
            last_reason_ = "the session with the agent was lost";
            core::counter_for("attempts_with_lost_session_total").add();
            co_return attempt_result::broken;
        }
    }
}

core::time_point generation::progress_deadline() const
{
    return std::min(request_.deadline, core::runtime_clock::now() + routing::progress_timeout);
}

core::task<std::optional<generation::attempt_result>>
generation::on_token(sessions::agent_link& link, const sessions::token& t)
{
    const routing::token_decision verdict = progress_.on_token(t.offset, t.text);
    if (verdict == routing::token_decision::gap) {
        last_reason_ = "a token is missing";
        co_return attempt_result::broken;
    }
    if (verdict == routing::token_decision::deliver) {
        if (!stream_begun_) {
            stream_begun_ = true;
            const core::result<void> begun = co_await caller_.begin_stream("text/event-stream");
            if (!begun) {
                co_return attempt_result::caller_is_gone;
            }
        }
        const core::result<void> written =
            co_await caller_.write_chunk(token_event(t.offset, t.text));
        if (!written) {
            co_return attempt_result::caller_is_gone;
        }
        core::counter_for("tokens_delivered_total").add();
    }
    link.credit(t.number, 1);
    co_return std::nullopt;
}

core::task<generation::attempt_result> generation::on_end(const sessions::work_end& how)
{
    if (how.state == end_state::refused) {
        last_reason_ = how.detail;
        co_return attempt_result::not_started;
    }
    if (how.state != end_state::finished || !progress_.complete(how.count)) {
        last_reason_ = how.detail.empty() ? "the answer is not whole" : how.detail;
        co_return attempt_result::broken;
    }
    if (was_suspect_) {
        context_.crashes.on_success(request_.fingerprint);
        sharing_.on_clearance(request_.fingerprint);
    }
    if (!stream_begun_) {
        stream_begun_ = true;
        const core::result<void> begun = co_await caller_.begin_stream("text/event-stream");
        if (!begun) {
            co_return attempt_result::caller_is_gone;
        }
    }
    const core::result<void> written =
        co_await caller_.write_chunk(done_event(how.count, progress_.checksum()));
    if (!written) {
        co_return attempt_result::caller_is_gone;
    }
    const core::result<void> ended = co_await caller_.end_stream();
    co_return ended ? attempt_result::whole : attempt_result::caller_is_gone;
}

core::task<void> generation::refuse()
{
    const std::string_view outcome = something_ran_ ? "unknown" : "not_run";
    count_outcome(outcome);
    core::log_event("generation_refused")
        .field("workspace", request_.workspace)
        .field("service", request_.service)
        .field("outcome", outcome)
        .field("delivered", progress_.delivered())
        .field("reason", last_reason_);
    if (stream_begun_) {
        // Without its terminating chunk nobody can take the stream for whole.
        caller_.close();
        co_return;
    }
    http::response answer = something_ran_ ? unknown_answer(502, last_reason_)
                                           : not_run_answer(503, last_reason_, no_endpoint_delay);
    co_await caller_.reply(std::move(answer));
}

void generation::log_choice(const routing::choice& where, bool isolated, int number)
{
    core::log_event("route")
        .field("workspace", request_.workspace)
        .field("service", request_.service)
        .field("endpoint", where.endpoint)
        .field("reason", routing::to_string(where.reason))
        .field("load", where.load)
        .field("attempt", number)
        .field("resume_from", progress_.delivered())
        .field("isolated", isolated);
}

void generation::note_crash(const core::endpoint_id& endpoint, const sessions::work_end& how,
                            bool isolated)
{
    const auto spec = context_.catalog.endpoints().find(endpoint);
    core::failure_domain_id domain;
    if (spec != context_.catalog.endpoints().end()) {
        const auto host = context_.catalog.hosts().find(spec->second.spec.host);
        domain = host == context_.catalog.hosts().end() ? domain : host->second.spec.failure_domain;
    }
    const admission::crash_record note{request_.fingerprint,
                                       request_.workspace,
                                       endpoint,
                                       domain,
                                       how.endpoint_incarnation,
                                       isolated,
                                       core::runtime_clock::now()};
    core::log_event("crash_note")
        .field("workspace", request_.workspace)
        .field("fingerprint", request_.fingerprint)
        .field("endpoint", endpoint)
        .field("endpoint_incarnation", how.endpoint_incarnation)
        .field("isolated", isolated);
    context_.crashes.on_crash(note);
    sharing_.on_crash(note);
}

} // namespace currantpitch::entry
