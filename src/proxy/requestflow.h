#pragma once

#include "core/eventlog.h"
#include "proxy/endpointattempt.h"

#include <optional>
#include <set>
#include <string>

namespace currantpitch::proxy {

/// One request from its slot to its last byte: attempts at endpoints, one after another, until one
/// answers or nothing more may be tried.
template <proxy_dialect Dialect>
class request_flow {
public:
    request_flow(proxy_context& context, http::server_connection& caller, routed_request routed)
        : context_(context), routed_(std::move(routed)), service_(context.service(routed_.service)),
          deadline_(routed_.arrived +
                    std::min(routed_.request.patience, routed_.route->timeout - answer_margin)),
          answer_(caller, routed_.request.last_event, routed_.arrived)
    {
    }

    core::task<void> run();
    /// Writes the line of a request whose caller left before its end.
    void log_abandoned() const { log_end("caller_left", {}); }

private:
    core::task<core::result<dispatch::work_queue::slot>> take_slot();
    attempt_situation situation(attempt_result result);
    core::task<void> finish_or_deliver_failure(next_step step, attempt_end end);
    core::task<void> finish(next_step step, attempt_end end);
    core::task<void> refuse(unsigned status, std::string_view reason);
    void log_attempt(const core::endpoint_id& endpoint, const attempt_end& end,
                     next_step step) const;
    void log_end(std::string_view outcome, std::string_view reason) const;

    proxy_context& context_;
    routed_request routed_;
    service_state& service_;
    core::time_point deadline_;
    caller_answer answer_;
    /// An endpoint's own failure, which is passed on when nothing better comes of a repeat.
    std::optional<attempt_end> failure_;
    unsigned attempts_ = 0;
    bool may_have_run_ = false;
    std::set<core::endpoint_id> tried_;
    core::time_point attempt_began_;
    core::duration waited_{};
};

template <proxy_dialect Dialect>
core::task<void> request_flow<Dialect>::run()
{
    service_.retries.on_request(routed_.arrived);
    while (true) {
        core::result<dispatch::work_queue::slot> taken = co_await take_slot();
        if (!taken) {
            attempt_end none;
            none.why = taken.error().code == core::errc::unavailable ? "no_endpoint" : "no_slot";
            const attempt_situation at_end{routed_.route->repeat, answer_.begun(), may_have_run_,
                                           false, false};
            co_await finish_or_deliver_failure(decide(attempt_result::not_run, at_end),
                                               std::move(none));
            co_return;
        }
        dispatch::work_queue::slot slot = std::move(taken.value());
        ++attempts_;
        tried_.insert(slot.endpoint());
        attempt_began_ = core::runtime_clock::now();
        endpoint_attempt<Dialect> attempt(context_, service_, routed_, answer_, deadline_,
                                          attempts_ >= routed_.route->max_attempts);
        attempt_end end = co_await attempt.run(slot);
        slot.set_end(end.work);
        may_have_run_ = may_have_run_ || end.result == attempt_result::unknown ||
                        end.result == attempt_result::failed;
        const next_step step =
            answer_.caller_lost() ? next_step::cut : decide(end.result, situation(end.result));
        log_attempt(slot.endpoint(), end, step);
        if (step != next_step::repeat) {
            co_await finish_or_deliver_failure(step, std::move(end));
            co_return;
        }
        if (end.result == attempt_result::failed) {
            failure_ = std::move(end);
        }
        answer_.events().begin_attempt();
    }
}

template <proxy_dialect Dialect>
core::task<core::result<dispatch::work_queue::slot>> request_flow<Dialect>::take_slot()
{
    dispatch::dispatch_request wanted;
    wanted.priority = routed_.workspace != nullptr && routed_.workspace->priority
                          ? *routed_.workspace->priority
                          : routed_.route->priority;
    wanted.arrived = routed_.arrived;
    const core::duration longest_wait = std::chrono::duration_cast<core::duration>(
        routed_.route->target_latency * queue_wait_share);
    const core::time_point now = core::runtime_clock::now();
    wanted.give_up = std::min((attempts_ == 0 ? routed_.arrived : now) + longest_wait,
                              deadline_ - least_time_left);
    wanted.excluded = tried_;
    core::result<dispatch::work_queue::slot> taken = co_await service_.queue.take(wanted);
    waited_ += core::runtime_clock::now() - now;
    co_return taken;
}

template <proxy_dialect Dialect>
attempt_situation request_flow<Dialect>::situation(attempt_result result)
{
    attempt_situation s;
    s.repeat = routed_.route->repeat;
    s.answer_begun = answer_.begun();
    s.may_have_run = may_have_run_;
    const core::time_point now = core::runtime_clock::now();
    s.out_of_time = deadline_ - now < least_time_left;
    const bool within_limits = attempts_ < routed_.route->max_attempts && !s.out_of_time;
    dispatch::dispatch_request another;
    another.excluded = tried_;
    s.repeat_allowed = within_limits && wants_repeat(result, s) &&
                       service_.queue.decisions().has_candidate(another) &&
                       service_.retries.try_acquire_retry(now);
    return s;
}

template <proxy_dialect Dialect>
core::task<void> request_flow<Dialect>::finish_or_deliver_failure(next_step step, attempt_end end)
{
    const bool nothing_better = step == next_step::refuse || step == next_step::fail;
    if (nothing_better && failure_) {
        co_await finish(next_step::deliver, std::move(*failure_));
        co_return;
    }
    co_await finish(step, std::move(end));
}

template <proxy_dialect Dialect>
core::task<void> request_flow<Dialect>::finish(next_step step, attempt_end end)
{
    switch (step) {
    case next_step::deliver:
        if (!end.answer) {
            const bool written = co_await answer_.end_stream();
            log_end(written ? "answered" : "caller_left", end.why);
            co_return;
        }
        co_await answer_.pass_on(std::move(*end.answer));
        log_end(to_string(end.result), end.why);
        co_return;
    case next_step::refuse:
        co_await refuse(503, end.why);
        co_return;
    case next_step::fail: {
        const bool late = core::runtime_clock::now() >= deadline_ - least_time_left;
        co_await refuse(late ? 504 : 502, end.why);
        co_return;
    }
    case next_step::cut:
    case next_step::repeat:
        break;
    }
    answer_.cut();
    log_end(answer_.caller_lost() ? "caller_left" : "cut", end.why);
}

template <proxy_dialect Dialect>
core::task<void> request_flow<Dialect>::refuse(unsigned status, std::string_view reason)
{
    refusal r{status, reason, std::nullopt};
    if (status == 503) {
        r.retry_after = service_.queue.decisions().retry_after();
    }
    http::response answer = Dialect::write_refusal(routed_.request, r);
    co_await answer_.reply(std::move(answer));
    log_end(std::to_string(status), reason);
}

template <proxy_dialect Dialect>
void request_flow<Dialect>::log_attempt(const core::endpoint_id& endpoint, const attempt_end& end,
                                        next_step step) const
{
    const core::time_point now = core::runtime_clock::now();
    core::counter_for("attempts_total", "end=\"" + std::string(to_string(end.work)) + "\"").add();
    if (step == next_step::deliver && attempts_ == 1) {
        return; // The request's own line says it all.
    }
    core::log_event("attempt")
        .field("request", routed_.request.id)
        .field("number", attempts_)
        .field("endpoint", endpoint)
        .field("load", service_.queue.decisions().load_of(endpoint, now))
        .field("result", to_string(end.result))
        .field("why", end.why)
        .field("took_ms", core::to_milliseconds(now - attempt_began_))
        .field("events", answer_.events().count())
        .field("next", to_string(step));
}

template <proxy_dialect Dialect>
void request_flow<Dialect>::log_end(std::string_view outcome, std::string_view reason) const
{
    const core::duration took = core::runtime_clock::now() - routed_.arrived;
    core::counter_for("requests_total", "outcome=\"" + std::string(outcome) + "\"").add();
    core::histogram_for("request_duration_ms").add(took);
    if (answer_.first_byte()) {
        core::histogram_for("first_byte_ms").add(*answer_.first_byte());
    }
    core::log_event("request")
        .field("request", routed_.request.id)
        .field("route", routed_.route->name)
        .field("service", routed_.service)
        .field("workspace", routed_.workspace == nullptr ? "" : routed_.workspace->name.str())
        .field("outcome", outcome)
        .field("reason", reason)
        .field("attempts", attempts_)
        .field("last_endpoint", tried_.empty() ? "" : tried_.rbegin()->str())
        .field("configuration", routed_.table->version())
        .field("configuration_age_ms", core::to_milliseconds(routed_.configuration_age))
        .field("waited_ms", core::to_milliseconds(waited_))
        .field("first_byte_ms",
               answer_.first_byte() ? core::to_milliseconds(*answer_.first_byte()) : -1)
        .field("events", answer_.events().count())
        .field("limit", service_.pace.limit())
        .field("gap_ms", core::to_milliseconds(service_.pace.mean_gap()))
        .field("took_ms", core::to_milliseconds(took));
}

} // namespace currantpitch::proxy
