#pragma once

#include "core/eventlog.h"
#include "core/text.h"
#include "proxy/endpointattempt.h"

#include <optional>
#include <set>
#include <string>

namespace currantpitch::proxy {

/// Processes one request from acquiring a slot to the last byte of the answer. Runs attempts at
/// endpoints one after another until one answers or no further attempt is permitted.
template <proxy_dialect Dialect>
class request_flow {
public:
    request_flow(proxy_context& context, http::server_connection& caller, routed_request routed)
        : context_(context), routed_(std::move(routed)), service_(context.service(routed_.service)),
          suspicion_(context.requests, service_.guard, routed_),
          deadline_(routed_.arrived +
                    std::min(routed_.request.timeout, routed_.route->timeout - answer_margin)),
          answer_(caller, routed_.request.last_event_id, routed_.arrived),
          ready_at_(routed_.arrived)
    {
    }

    core::task<void> run();
    /// Logs a request whose caller disconnected before its end.
    void log_abandoned() const { log_outcome("caller_left", {}); }

private:
    static std::string_view reason_without_slot(core::errc code);
    using slot_result = core::result<dispatch::work_queue::slot>;

    /// Waits while the service is down as a whole. Returns false if it is not expected back while
    /// the caller stays.
    core::task<bool> wait_for_service();
    /// Time at which the caller gives the request up.
    core::time_point caller_leaves_at() const;
    /// Returns the slot that was acquired during the last attempt, or acquires one.
    core::task<slot_result> take_slot();
    core::task<slot_result> acquire_slot() const;
    /// Acquires the slot of the next attempt while the current one goes on. Returns false if none
    /// becomes free in time.
    core::task<bool> acquire_next_slot();
    /// Ends the request, as no further attempt is made.
    core::task<void> end_without_attempt(std::string_view reason);
    /// Whether another endpoint, the route and the retry allowance permit an attempt after this
    /// one.
    bool another_attempt_possible() const;
    /// Input for decide. Acquires a retry from the service's allowance if another attempt is
    /// possible.
    retry_context evaluate_retry(attempt_result result);
    core::task<void> finish_or_deliver_failure(next_step step, attempt_outcome outcome);
    core::task<void> finish(next_step step, attempt_outcome outcome);
    core::task<void> refuse(unsigned status, std::string_view reason);
    /// Logs what the reserve decided on this request.
    void log_reserve() const;
    /// Time after which the caller of a request that is refused for this reason should return.
    std::chrono::milliseconds retry_after(std::string_view reason);
    /// A planned stop that begins meanwhile may end the request before its deadline.
    core::time_point deadline() const { return context_.end_of(deadline_); }
    void log_attempt(const core::endpoint_id& endpoint, const attempt_outcome& outcome,
                     next_step step) const;
    void log_outcome(std::string_view outcome, std::string_view reason) const;

    proxy_context& context_;
    routed_request routed_;
    service_state& service_;
    request_suspicion suspicion_;
    core::time_point deadline_;
    caller_answer answer_;
    /// Failure answer of an endpoint. It is delivered if no retry gets an answer.
    std::optional<attempt_outcome> endpoint_failure_;
    unsigned attempts_ = 0;
    /// Attempts that ended before anything was sent, because the endpoint had become cold.
    int attempts_left_out_ = 0;
    bool may_have_run_ = false;
    std::set<core::endpoint_id> tried_endpoints_;
    /// Slot of the next attempt, while the current one is silent.
    std::optional<dispatch::work_queue::slot> next_slot_;
    core::time_point attempt_started_at_;
    core::duration queue_time_{};
    /// Time at which the request could begin to wait for a slot.
    core::time_point ready_at_;
    /// Counts a request that waits for the end of an outage, also if its task is cancelled.
    struct outage_wait {
        overload::outage& outage;
        int priority;
        outage_wait(overload::outage& o, int p) : outage(o), priority(p)
        {
            outage.on_waiting(priority, 1);
        }
        outage_wait(const outage_wait&) = delete;
        outage_wait& operator=(const outage_wait&) = delete;
        ~outage_wait() { outage.on_waiting(priority, -1); }
    };
};

template <proxy_dialect Dialect>
core::task<void> request_flow<Dialect>::run()
{
    service_.retries.on_request(routed_.arrived);
    service_.queue.slot_scheduler().on_arrival(routed_.priority(), routed_.arrived);
    while (true) {
        const std::string_view suspicion = suspicion_.refusal_reason();
        if (!suspicion.empty()) {
            co_await end_without_attempt(suspicion);
            co_return;
        }
        if (!next_slot_ && !co_await wait_for_service()) {
            co_await end_without_attempt(outage_reason);
            co_return;
        }
        slot_result acquired = co_await take_slot();
        if (!acquired) {
            co_await end_without_attempt(reason_without_slot(acquired.error().code));
            co_return;
        }
        dispatch::work_queue::slot slot = std::move(acquired.value());
        ++attempts_;
        tried_endpoints_.insert(slot.endpoint());
        attempt_started_at_ = core::runtime_clock::now();
        endpoint_attempt<Dialect> attempt(
            context_, service_, routed_, suspicion_, answer_, deadline_,
            {[this] { return another_attempt_possible(); }, [this] { return acquire_next_slot(); },
             [this] {
                 next_slot_.reset();
             }});
        attempt_outcome outcome = co_await attempt.run(slot);
        slot.set_outcome(outcome.work);
        if (outcome.permit_lost && attempts_left_out_++ < max_attempts_left_out) {
            // Not an attempt of the route: another endpoint gets it without using a retry.
            --attempts_;
            continue;
        }
        may_have_run_ = may_have_run_ || outcome.result == attempt_result::unknown ||
                        outcome.result == attempt_result::failed;
        const next_step step = answer_.caller_lost()
                                   ? next_step::abort
                                   : decide(outcome.result, evaluate_retry(outcome.result));
        log_attempt(slot.endpoint(), outcome, step);
        if (step != next_step::retry) {
            next_slot_.reset();
            co_await finish_or_deliver_failure(step, std::move(outcome));
            co_return;
        }
        if (outcome.result == attempt_result::failed) {
            endpoint_failure_ = std::move(outcome);
        }
        answer_.events().begin_attempt();
    }
}

template <proxy_dialect Dialect>
std::string_view request_flow<Dialect>::reason_without_slot(core::errc code)
{
    switch (code) {
    case core::errc::unavailable:
        return "no_endpoint";
    case core::errc::limited:
        return endpoints_limited_reason;
    case core::errc::reserved:
        return reserved_reason;
    default:
        return "no_slot";
    }
}

template <proxy_dialect Dialect>
core::task<void> request_flow<Dialect>::end_without_attempt(std::string_view reason)
{
    attempt_outcome no_attempt;
    no_attempt.reason = reason;
    const retry_context context{routed_.route->retry, answer_.begun(), may_have_run_, false, false};
    co_await finish_or_deliver_failure(decide(attempt_result::not_run, context),
                                       std::move(no_attempt));
}

template <proxy_dialect Dialect>
core::time_point request_flow<Dialect>::caller_leaves_at() const
{
    const core::time_point end = deadline() - min_time_left;
    return answer_.begun()
               ? end
               : std::min(end, routed_.arrived +
                                   overload::outage::patience(routed_.route->target_latency));
}

template <proxy_dialect Dialect>
core::task<bool> request_flow<Dialect>::wait_for_service()
{
    overload::outage& outage = service_.outage;
    if (!routes::is_stream(routed_.route->retry) || !outage.suspected()) {
        co_return true;
    }
    const core::time_point began_at = core::runtime_clock::now();
    const core::time_point leaves_at = caller_leaves_at();
    bool waits = true;
    {
        const outage_wait registered(outage, routed_.priority());
        while (outage.suspected()) {
            const core::time_point now = core::runtime_clock::now();
            if (!outage.down(now)) {
                if (attempts_ == 0) {
                    co_return true;
                }
                co_await service_.outage_change.wait_until(
                    std::min(outage.confirmed_at(), now + outage_check_interval));
                continue;
            }
            service_.on_outage(routed_.service, now);
            if (outage.try_probe(routed_.priority(), now)) {
                break;
            }
            if (outage.expected_end(now) > leaves_at) {
                waits = false;
                break;
            }
            co_await service_.outage_change.wait_until(now + outage_check_interval);
        }
    }
    while (waits && !outage.suspected() && outage.more_urgent_waits(routed_.priority()) &&
           core::runtime_clock::now() < leaves_at) {
        co_await core::sleep_for(outage_order_interval);
    }
    ready_at_ = core::runtime_clock::now();
    queue_time_ += ready_at_ - began_at;
    co_return waits;
}

template <proxy_dialect Dialect>
core::task<core::result<dispatch::work_queue::slot>> request_flow<Dialect>::take_slot()
{
    if (next_slot_) {
        slot_result taken(std::move(*next_slot_));
        next_slot_.reset();
        co_return taken;
    }
    const core::time_point began_at = core::runtime_clock::now();
    slot_result acquired = co_await acquire_slot();
    queue_time_ += core::runtime_clock::now() - began_at;
    co_return acquired;
}

template <proxy_dialect Dialect>
core::task<bool> request_flow<Dialect>::acquire_next_slot()
{
    slot_result acquired = co_await acquire_slot();
    if (!acquired) {
        co_return false;
    }
    next_slot_.emplace(std::move(acquired.value()));
    co_return true;
}

template <proxy_dialect Dialect>
core::task<core::result<dispatch::work_queue::slot>> request_flow<Dialect>::acquire_slot() const
{
    dispatch::dispatch_request slot_request;
    slot_request.priority = routed_.priority();
    slot_request.arrived = routed_.arrived;
    const core::duration max_wait = std::chrono::duration_cast<core::duration>(
        routed_.route->target_latency * queue_wait_fraction);
    const core::time_point now = core::runtime_clock::now();
    slot_request.deadline =
        std::min((attempts_ == 0 ? ready_at_ : now) + max_wait, deadline() - min_time_left);
    slot_request.excluded = tried_endpoints_;
    co_return co_await service_.queue.acquire_slot(slot_request);
}

template <proxy_dialect Dialect>
bool request_flow<Dialect>::another_attempt_possible() const
{
    const core::time_point now = core::runtime_clock::now();
    dispatch::dispatch_request next;
    next.excluded = tried_endpoints_;
    return attempts_ < routed_.route->max_attempts && deadline() - now >= min_time_left &&
           suspicion_.refusal_reason().empty() &&
           service_.queue.slot_scheduler().has_candidate(next) && service_.retries.has_retry(now);
}

template <proxy_dialect Dialect>
retry_context request_flow<Dialect>::evaluate_retry(attempt_result result)
{
    retry_context context;
    context.retry_policy = routed_.route->retry;
    context.answer_begun = answer_.begun();
    context.may_have_run = may_have_run_;
    const core::time_point now = core::runtime_clock::now();
    context.out_of_time = deadline() - now < min_time_left;
    const bool within_limits = attempts_ < routed_.route->max_attempts && !context.out_of_time;
    dispatch::dispatch_request retry_request;
    retry_request.excluded = tried_endpoints_;
    context.retry_allowed = within_limits && is_retryable(result, context) &&
                            suspicion_.refusal_reason().empty() &&
                            service_.queue.slot_scheduler().has_candidate(retry_request) &&
                            service_.retries.try_acquire_retry(now);
    return context;
}

template <proxy_dialect Dialect>
core::task<void> request_flow<Dialect>::finish_or_deliver_failure(next_step step,
                                                                  attempt_outcome outcome)
{
    const bool has_no_answer = step == next_step::refuse || step == next_step::fail;
    if (has_no_answer && endpoint_failure_) {
        co_await finish(next_step::deliver, std::move(*endpoint_failure_));
        co_return;
    }
    co_await finish(step, std::move(outcome));
}

template <proxy_dialect Dialect>
core::task<void> request_flow<Dialect>::finish(next_step step, attempt_outcome outcome)
{
    switch (step) {
    case next_step::deliver:
        if (!outcome.answer) {
            const bool written = co_await answer_.end_stream();
            log_outcome(written ? "answered" : "caller_left", outcome.reason);
            co_return;
        }
        co_await answer_.forward(std::move(*outcome.answer));
        log_outcome(to_string(outcome.result), outcome.reason);
        co_return;
    case next_step::refuse:
        co_await refuse(503, outcome.reason);
        co_return;
    case next_step::fail: {
        const bool timed_out = core::runtime_clock::now() >= deadline() - min_time_left;
        co_await refuse(timed_out ? 504 : 502, outcome.reason);
        co_return;
    }
    case next_step::abort:
    case next_step::retry:
        break;
    }
    answer_.abort();
    log_outcome(answer_.caller_lost() ? "caller_left" : "cut", outcome.reason);
}

template <proxy_dialect Dialect>
std::chrono::milliseconds request_flow<Dialect>::retry_after(std::string_view reason)
{
    if (reason == part_suspected_reason || reason == request_suspected_reason) {
        return suspicion_.retry_after(reason);
    }
    const core::time_point now = core::runtime_clock::now();
    if (routes::is_stream(routed_.route->retry) && service_.outage.down(now)) {
        return service_.outage.retry_after(now);
    }
    if (reason == endpoints_limited_reason) {
        return service_.queue.slot_scheduler().retry_after_limit(now);
    }
    return service_.queue.slot_scheduler().retry_after(routed_.priority(), now);
}

template <proxy_dialect Dialect>
core::task<void> request_flow<Dialect>::refuse(unsigned status, std::string_view reason)
{
    refusal r{status, reason, std::nullopt};
    if (status == 503) {
        r.retry_after = retry_after(reason);
    }
    http::response answer = Dialect::write_refusal(routed_.request, r);
    co_await answer_.reply(std::move(answer));
    if (reason == reserved_reason) {
        log_reserve();
    }
    log_outcome(std::to_string(status), reason);
}

template <proxy_dialect Dialect>
void request_flow<Dialect>::log_reserve() const
{
    const std::optional<overload::priority_reserve::decision> d =
        service_.queue.slot_scheduler().reserve_decision(routed_.priority(),
                                                         core::runtime_clock::now());
    core::counter_for("requests_reserved_total",
                      "priority=\"" + std::to_string(routed_.priority()) + "\"")
        .add();
    if (d) {
        core::log_event("slots_reserved")
            .field("request", routed_.request.id)
            .field("service", routed_.service)
            .field("priority", routed_.priority())
            .field("reserved", d->reserved)
            .field("allowed", d->allowed)
            .field("room", d->room);
    }
}

template <proxy_dialect Dialect>
void request_flow<Dialect>::log_attempt(const core::endpoint_id& endpoint,
                                        const attempt_outcome& outcome, next_step step) const
{
    const core::time_point now = core::runtime_clock::now();
    core::counter_for("attempts_total", "end=\"" + std::string(to_string(outcome.work)) + "\"")
        .add();
    if (step == next_step::deliver && attempts_ == 1) {
        return; // The log line of the request has the same information.
    }
    core::log_event("attempt")
        .field("request", routed_.request.id)
        .field("fingerprint", routed_.fingerprint)
        .field("number", attempts_)
        .field("endpoint", endpoint)
        .field("load", service_.queue.slot_scheduler().load_of(endpoint, now))
        .field("result", to_string(outcome.result))
        .field("why", outcome.reason)
        .field("took_ms", core::to_milliseconds(now - attempt_started_at_))
        .field("events", answer_.events().new_event_count())
        .field("head", outcome.head_received)
        .field("progress", outcome.progressed)
        .field("parts", core::join(routed_.request.shared_parts, ','))
        .field("next", to_string(step));
}

template <proxy_dialect Dialect>
void request_flow<Dialect>::log_outcome(std::string_view outcome, std::string_view reason) const
{
    const core::duration elapsed = core::runtime_clock::now() - routed_.arrived;
    core::counter_for("requests_total", "outcome=\"" + std::string(outcome) + "\"").add();
    core::histogram_for("request_duration_ms").add(elapsed);
    if (answer_.time_to_first_byte()) {
        core::histogram_for("first_byte_ms").add(*answer_.time_to_first_byte());
    }
    core::log_event("request")
        .field("request", routed_.request.id)
        .field("fingerprint", routed_.fingerprint)
        .field("route", routed_.route->name)
        .field("service", routed_.service)
        .field("workspace", routed_.workspace == nullptr ? "" : routed_.workspace->name.str())
        .field("outcome", outcome)
        .field("reason", reason)
        .field("attempts", attempts_)
        .field("last_endpoint", tried_endpoints_.empty() ? "" : tried_endpoints_.rbegin()->str())
        .field("configuration", routed_.table->version())
        .field("configuration_age_ms", core::to_milliseconds(routed_.configuration_age))
        .field("waited_ms", core::to_milliseconds(queue_time_))
        .field("first_byte_ms", answer_.time_to_first_byte()
                                    ? core::to_milliseconds(*answer_.time_to_first_byte())
                                    : -1)
        .field("events", answer_.events().new_event_count())
        .field("limit", service_.concurrency_controller.limit())
        .field("gap_ms", core::to_milliseconds(service_.concurrency_controller.mean_gap()))
        .field("took_ms", core::to_milliseconds(elapsed));
}

} // namespace currantpitch::proxy
