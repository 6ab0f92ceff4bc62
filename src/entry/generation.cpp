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
    int delays = 0;
    while (attempts < routing::max_attempts && core::runtime_clock::now() < request_.deadline) {
        const admission::suspicion_level suspicion_level =
            context_.crashes.suspicion_of(request_.fingerprint, core::runtime_clock::now());
        if (suspicion_level >= admission::suspicion_level::held) {
            failure_reason_ = std::string(admission::to_string(suspicion_level));
            break;
        }
        const bool isolated = suspicion_level == admission::suspicion_level::suspect;
        was_suspect_ = was_suspect_ || isolated;
        const routing::route_request route_query{request_.prefix, excluded_, isolated};
        const std::optional<routing::choice> choice =
            service.pool.choose(route_query, core::runtime_clock::now());
        if (!choice) {
            // Endpoints that refused the work before may have capacity by now.
            excluded_.clear();
            ++delays;
            co_await core::sleep_for(admission::retry_delay(delays, context_.random));
            continue;
        }
        if (may_have_run_ && attempts > 0 && !budget.try_acquire_retry()) {
            failure_reason_ = "the retry budget is spent";
            break;
        }
        log_choice(*choice, isolated, attempts);
        const attempt_result result = co_await attempt(*choice, isolated);
        if (result == attempt_result::completed || result == attempt_result::caller_disconnected) {
            count_outcome(result == attempt_result::completed ? "whole" : "caller_gone");
            co_return;
        }
        excluded_.insert(choice->endpoint);
        if (result == attempt_result::interrupted) {
            ++attempts;
        }
        else {
            ++delays;
            co_await core::sleep_for(admission::retry_delay(delays, context_.random));
        }
    }
    co_await reply_failure();
}

core::task<generation::attempt_result> generation::attempt(const routing::choice& choice,
                                                           bool isolated)
{
    sessions::agent_link* const link = agents_.link_of(choice.endpoint);
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
        failure_reason_ = channel.error().detail;
        co_return attempt_result::not_started;
    }
    const core::endpoint_id endpoint = choice.endpoint;
    service_state& service = context_.service(request_.service);
    service.pool.on_request_started(endpoint, isolated);
    last_end_.reset();
    const attempt_result result = co_await process_events(*link, channel.value());
    service.pool.on_request_finished(endpoint, isolated);
    const core::attempt_number number = channel.value()->identity().number;
    if (!last_end_) {
        link->cancel(number);
    }
    link->settle(number);
    if (last_end_ && last_end_->state == end_state::crashed) {
        report_crash(endpoint, *last_end_, isolated);
    }
    may_have_run_ = may_have_run_ || result != attempt_result::not_started;
    co_return result;
}

core::task<generation::attempt_result>
generation::process_events(sessions::agent_link& link,
                           std::shared_ptr<sessions::attempt_channel> channel)
{
    while (true) {
        const std::optional<sessions::attempt_event> event =
            co_await channel->next(progress_deadline());
        if (!event) {
            failure_reason_ = "no progress";
            core::counter_for("attempts_without_progress_total").add();
            co_return attempt_result::interrupted;
        }
        if (const sessions::token* t = std::get_if<sessions::token>(&*event)) {
            const std::optional<attempt_result> ended = co_await on_token(link, *t);
            if (ended) {
                co_return *ended;
            }
        }
        else if (const sessions::work_end* end = std::get_if<sessions::work_end>(&*event)) {
            last_end_ = *end;
            co_return co_await on_end(*end);
        }
        else {
            // A generation may run twice, so another endpoint resumes it without waiting for the
            // outcome of this attempt.
            failure_reason_ = "the session with the agent was lost";
            core::counter_for("attempts_with_lost_session_total").add();
            co_return attempt_result::interrupted;
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
    const routing::token_decision decision = progress_.on_token(t.offset, t.text);
    if (decision == routing::token_decision::gap) {
        failure_reason_ = "a token is missing";
        co_return attempt_result::interrupted;
    }
    if (decision == routing::token_decision::deliver) {
        if (!stream_begun_) {
            stream_begun_ = true;
            const core::result<void> started = co_await caller_.begin_stream("text/event-stream");
            if (!started) {
                co_return attempt_result::caller_disconnected;
            }
        }
        const core::result<void> written =
            co_await caller_.write_chunk(token_event(t.offset, t.text));
        if (!written) {
            co_return attempt_result::caller_disconnected;
        }
        core::counter_for("tokens_delivered_total").add();
    }
    link.credit(t.number, 1);
    co_return std::nullopt;
}

core::task<generation::attempt_result> generation::on_end(const sessions::work_end& end)
{
    if (end.state == end_state::refused) {
        failure_reason_ = end.detail;
        co_return attempt_result::not_started;
    }
    if (end.state != end_state::finished || !progress_.complete(end.count)) {
        failure_reason_ = end.detail.empty() ? "the answer is not whole" : end.detail;
        co_return attempt_result::interrupted;
    }
    if (was_suspect_) {
        context_.crashes.on_success(request_.fingerprint);
        crash_listener_.on_clearance(request_.fingerprint);
    }
    if (!stream_begun_) {
        stream_begun_ = true;
        const core::result<void> started = co_await caller_.begin_stream("text/event-stream");
        if (!started) {
            co_return attempt_result::caller_disconnected;
        }
    }
    const core::result<void> written =
        co_await caller_.write_chunk(done_event(end.count, progress_.checksum()));
    if (!written) {
        co_return attempt_result::caller_disconnected;
    }
    const core::result<void> ended = co_await caller_.end_stream();
    co_return ended ? attempt_result::completed : attempt_result::caller_disconnected;
}

core::task<void> generation::reply_failure()
{
    const std::string_view outcome = may_have_run_ ? "unknown" : "not_run";
    count_outcome(outcome);
    core::log_event("generation_refused")
        .field("workspace", request_.workspace)
        .field("service", request_.service)
        .field("outcome", outcome)
        .field("delivered", progress_.delivered())
        .field("reason", failure_reason_);
    if (stream_begun_) {
        // Without the terminating chunk the caller detects that the stream is incomplete.
        caller_.close();
        co_return;
    }
    http::response answer = may_have_run_
                                ? unknown_answer(502, failure_reason_)
                                : not_run_answer(503, failure_reason_, no_endpoint_retry_after);
    co_await caller_.reply(std::move(answer));
}

void generation::log_choice(const routing::choice& choice, bool isolated, int attempt_index)
{
    core::log_event("route")
        .field("workspace", request_.workspace)
        .field("service", request_.service)
        .field("endpoint", choice.endpoint)
        .field("reason", routing::to_string(choice.reason))
        .field("load", choice.load)
        .field("attempt", attempt_index)
        .field("resume_from", progress_.delivered())
        .field("isolated", isolated);
}

void generation::report_crash(const core::endpoint_id& endpoint, const sessions::work_end& end,
                              bool isolated)
{
    const auto spec = context_.catalog.endpoints().find(endpoint);
    core::failure_domain_id domain;
    if (spec != context_.catalog.endpoints().end()) {
        const auto host = context_.catalog.hosts().find(spec->second.spec.host);
        domain = host == context_.catalog.hosts().end() ? domain : host->second.spec.failure_domain;
    }
    const admission::crash_record record{request_.fingerprint,
                                         request_.workspace,
                                         endpoint,
                                         domain,
                                         end.endpoint_incarnation,
                                         isolated,
                                         core::runtime_clock::now()};
    core::log_event("crash_note")
        .field("workspace", request_.workspace)
        .field("fingerprint", request_.fingerprint)
        .field("endpoint", endpoint)
        .field("endpoint_incarnation", end.endpoint_incarnation)
        .field("isolated", isolated);
    context_.crashes.on_crash(record);
    crash_listener_.on_crash(record);
}

} // namespace currantpitch::entry
