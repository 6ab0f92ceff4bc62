#pragma once

#include "core/counters.h"
#include "core/eventlog.h"
#include "http/serverconnection.h"
#include "proxy/attemptrules.h"
#include "proxy/eventstream.h"
#include "proxy/proxyconstants.h"
#include "proxy/proxycontext.h"
#include "proxy/proxymessages.h"

#include <optional>
#include <set>
#include <string>

namespace currantpitch::proxy {

/// Where a request goes, as decided when it was read.
struct routed_request {
    caller_request request;
    /// Keeps the route alive over changes of the configuration.
    std::shared_ptr<const routes::route_table> table;
    const routes::route* route = nullptr;
    const routes::workspace* workspace = nullptr;
    core::service_id service;
    core::time_point arrived;
    core::duration configuration_age{};
};

/// Headers that concern more than one connection, without the content type, which messages carry
/// on their own.
std::vector<http::header> end_to_end_headers(const std::vector<http::header>& headers);

/// One request from its slot to its last byte: attempts at endpoints, one after another, until one
/// answers or nothing more may be tried.
template <proxy_dialect Dialect>
class request_flow {
public:
    request_flow(proxy_context& context, http::server_connection& caller, routed_request routed)
        : context_(context), caller_(caller), routed_(std::move(routed)),
          service_(context.service(routed_.service)),
          deadline_(routed_.arrived +
                    std::min(routed_.request.patience, routed_.route->timeout - answer_margin)),
          events_(routed_.request.last_event)
    {
    }

    core::task<void> run();
    /// Writes the line of a request whose caller left before its end.
    void log_abandoned() const { log_end("caller_left", {}); }

private:
    struct attempt_end {
        attempt_result result = attempt_result::not_run;
        /// What the endpoint answered, for results answered and failed of whole answers.
        std::optional<http::response> answer;
        std::string_view why;
        dispatch::work_end work = dispatch::work_end::broken;
    };

    /// Marks that a write to the caller is under way. The task may be broken off before the write
    /// has begun.
    struct write_mark {
        explicit write_mark(bool& f) : flag(f) { flag = true; }
        write_mark(const write_mark&) = delete;
        write_mark& operator=(const write_mark&) = delete;
        ~write_mark() { flag = false; }
        bool& flag;
    };

    bool stream() const { return routes::is_stream(routed_.route->repeat); }
    core::task<core::result<dispatch::work_queue::slot>> take_slot();
    core::task<attempt_end> attempt(const dispatch::work_queue::slot& slot);
    core::task<core::result<http::client_connection>>
    connect(const directory::endpoint_record& record);
    core::task<attempt_end> exchange(http::client_connection& connection,
                                     const directory::endpoint_record& record);
    core::task<attempt_end> read_answer(http::client_connection& connection,
                                        const directory::endpoint_record& record);
    core::task<attempt_end> relay_stream(http::client_connection& connection, http::response head);
    core::task<std::string_view> watch_silence();
    bool silent_too_long(core::time_point now) const;
    core::task<core::result<void>> begin_answer(const http::response& head);
    /// Sends the events that were taken and not sent yet, after the answer's head.
    core::task<bool> send_events(const http::response& head);
    attempt_situation situation(attempt_result result);
    core::task<void> finish_or_deliver_failure(next_step step, attempt_end end);
    core::task<void> finish(next_step step, attempt_end end);
    core::task<void> refuse(unsigned status, std::string_view reason);
    void log_attempt(const core::endpoint_id& endpoint, const attempt_end& end,
                     next_step step) const;
    void log_end(std::string_view outcome, std::string_view reason) const;

    proxy_context& context_;
    http::server_connection& caller_;
    routed_request routed_;
    service_state& service_;
    core::time_point deadline_;
    event_sequence events_;
    /// An endpoint's own failure, which is passed on when nothing better comes of a repeat.
    std::optional<attempt_end> failure_;
    unsigned attempts_ = 0;
    bool may_have_run_ = false;
    bool answer_begun_ = false;
    bool caller_lost_ = false;
    /// A write to the caller is under way, which must not be broken off in the middle of an event.
    bool writing_ = false;
    std::set<core::endpoint_id> tried_;
    core::time_point attempt_began_;
    core::time_point last_heard_;
    core::duration waited_{};
    std::optional<core::duration> first_byte_;
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
            const attempt_situation at_end{routed_.route->repeat, answer_begun_, may_have_run_,
                                           false, false};
            co_await finish_or_deliver_failure(decide(attempt_result::not_run, at_end),
                                               std::move(none));
            co_return;
        }
        dispatch::work_queue::slot slot = std::move(taken.value());
        ++attempts_;
        tried_.insert(slot.endpoint());
        attempt_end end = co_await attempt(slot);
        slot.set_end(end.work);
        may_have_run_ = may_have_run_ || end.result == attempt_result::unknown ||
                        end.result == attempt_result::failed;
        const next_step step =
            caller_lost_ ? next_step::cut : decide(end.result, situation(end.result));
        log_attempt(slot.endpoint(), end, step);
        if (step != next_step::repeat) {
            co_await finish_or_deliver_failure(step, std::move(end));
            co_return;
        }
        if (end.result == attempt_result::failed) {
            failure_ = std::move(end);
        }
        events_.begin_attempt();
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
    s.answer_begun = answer_begun_;
    s.may_have_run = may_have_run_;
    const core::time_point now = core::runtime_clock::now();
    s.out_of_time = deadline_ - now < least_time_left;
    const bool within_limits = attempts_ < routed_.route->max_attempts && !s.out_of_time;
    dispatch::dispatch_request another;
    another.excluded = tried_;
    s.repeat_allowed = within_limits && wants_repeat(result, s) &&
                       service_.queue.decisions().has_candidate(another) &&
                       service_.retries.take_repeat(now);
    return s;
}

template <proxy_dialect Dialect>
core::task<typename request_flow<Dialect>::attempt_end>
request_flow<Dialect>::attempt(const dispatch::work_queue::slot& slot)
{
    using namespace core::asio::experimental::awaitable_operators;
    attempt_began_ = core::runtime_clock::now();
    last_heard_ = attempt_began_;
    attempt_end end;
    const directory::endpoint_record* const known = context_.endpoints.find(slot.endpoint());
    if (known == nullptr || known->draining) {
        end.why = "endpoint_gone";
        co_return end;
    }
    const directory::endpoint_record record = *known;
    core::result<http::client_connection> connection = co_await connect(record);
    if (!connection) {
        end.why = "connect_failed";
        co_return end;
    }
    if (!context_.endpoints.usable(slot.endpoint())) {
        end.why = "endpoint_gone";
        co_return end;
    }
    if (deadline_ - core::runtime_clock::now() < least_time_left) {
        end.why = "out_of_time";
        end.work = dispatch::work_end::abandoned;
        co_return end;
    }
    std::variant<attempt_end, std::string_view> first =
        co_await (exchange(connection.value(), record) || watch_silence());
    if (first.index() == 1) {
        end.result = attempt_result::unknown;
        end.why = std::get<1>(first);
        co_return end;
    }
    co_return std::get<0>(std::move(first));
}

template <proxy_dialect Dialect>
core::task<core::result<http::client_connection>>
request_flow<Dialect>::connect(const directory::endpoint_record& record)
{
    const std::chrono::milliseconds most_idle =
        routes::may_repeat(routed_.route->repeat) ? default_idle_time : fresh_connection_age;
    std::optional<http::client_connection> kept =
        context_.connections.take(record.endpoint, most_idle);
    if (kept) {
        co_return std::move(*kept);
    }
    http::client_connection fresh(context_.executor);
    const core::time_point limit =
        std::min(core::runtime_clock::now() + connect_timeout, deadline_);
    const core::result<void> connected = co_await fresh.connect(record.address, limit);
    if (!connected) {
        co_return connected.error();
    }
    core::counter_for("endpoint_connections_total").add();
    co_return std::move(fresh);
}

template <proxy_dialect Dialect>
core::task<typename request_flow<Dialect>::attempt_end>
request_flow<Dialect>::exchange(http::client_connection& connection,
                                const directory::endpoint_record& record)
{
    endpoint_call call;
    call.endpoint = record.endpoint;
    if (routed_.workspace != nullptr) {
        call.workspace = routed_.workspace->name;
    }
    call.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline_ - core::runtime_clock::now());
    call.last_event = events_.last();
    http::request message = Dialect::to_endpoint(routed_.request, call);
    const core::result<void> sent =
        co_await connection.send(std::move(message), core::time_point::max());
    if (!sent) {
        attempt_end end;
        end.result = attempt_result::unknown;
        end.why = "send_failed";
        co_return end;
    }
    co_return co_await read_answer(connection, record);
}

template <proxy_dialect Dialect>
core::task<typename request_flow<Dialect>::attempt_end>
request_flow<Dialect>::read_answer(http::client_connection& connection,
                                   const directory::endpoint_record& record)
{
    attempt_end end;
    end.result = attempt_result::unknown;
    for (int skipped = 0; skipped <= max_foreign_answers; ++skipped) {
        core::result<http::response> head = co_await connection.read_head(core::time_point::max());
        if (!head) {
            end.why = "no_answer";
            co_return end;
        }
        last_heard_ = core::runtime_clock::now();
        const answer_facts facts = Dialect::read_answer(head.value());
        const bool whole_stream =
            stream() && facts.genuine && head.value().status / 100 == 2 && !facts.not_run;
        const bool foreign = !facts.id.empty() && facts.id != routed_.request.id;
        if (whole_stream && !foreign) {
            end = co_await relay_stream(connection, std::move(head.value()));
        }
        else {
            const core::result<std::string> body =
                co_await connection.read_rest(max_answer_bytes, core::time_point::max());
            if (!body) {
                end.why = "answer_cut";
                co_return end;
            }
            if (foreign) {
                core::counter_for("foreign_answers_total").add();
                continue;
            }
            if (facts.not_run) {
                end.result = attempt_result::not_run;
                end.why = "endpoint_refused";
                end.work = dispatch::work_end::refused;
            }
            else if (!facts.genuine) {
                end.why = "answer_not_genuine";
                co_return end;
            }
            else {
                const bool failed = head.value().status >= 500;
                end.result = failed ? attempt_result::failed : attempt_result::answered;
                end.why = failed ? "endpoint_failed" : "answered";
                end.work = failed ? dispatch::work_end::failed : dispatch::work_end::done;
                end.answer = std::move(head.value());
                end.answer->body = body.value();
            }
        }
        const bool keep = connection.reusable() && (end.work != dispatch::work_end::broken);
        if (keep) {
            const std::chrono::milliseconds idle =
                facts.idle_time ? std::chrono::duration_cast<std::chrono::milliseconds>(
                                      *facts.idle_time * idle_time_share)
                                : default_idle_time;
            context_.connections.keep(record.endpoint, std::move(connection), idle);
        }
        co_return end;
    }
    end.why = "foreign_answers";
    co_return end;
}

template <proxy_dialect Dialect>
core::task<typename request_flow<Dialect>::attempt_end>
request_flow<Dialect>::relay_stream(http::client_connection& connection, http::response head)
{
    attempt_end end;
    end.result = attempt_result::unknown;
    core::time_point last_event{};
    while (true) {
        const core::result<std::string> piece =
            co_await connection.read_some(core::time_point::max());
        if (!piece) {
            end.why = "stream_cut";
            co_return end;
        }
        if (piece.value().empty()) {
            break;
        }
        const core::result<void> taken = events_.take(piece.value());
        if (!taken) {
            end.why = "stream_gap";
            co_return end;
        }
        if (events_.unsent().empty()) {
            continue;
        }
        const core::time_point now = core::runtime_clock::now();
        last_heard_ = now;
        service_.last_progress = now;
        if (last_event != core::time_point{}) {
            service_.pace.observe(now - last_event, routed_.route->target_gap, now);
        }
        last_event = now;
        if (!co_await send_events(head)) {
            caller_lost_ = true;
            end.why = "caller_left";
            end.work = dispatch::work_end::abandoned;
            co_return end;
        }
    }
    if (!events_.at_boundary()) {
        end.why = "stream_cut";
        co_return end;
    }
    if (!co_await send_events(head)) {
        caller_lost_ = true;
    }
    end.result = attempt_result::answered;
    end.why = "answered";
    end.work = dispatch::work_end::done;
    co_return end;
}

template <proxy_dialect Dialect>
core::task<core::result<void>> request_flow<Dialect>::begin_answer(const http::response& head)
{
    answer_begun_ = true;
    first_byte_ = core::runtime_clock::now() - routed_.arrived;
    http::response begun;
    begun.status = head.status;
    begun.content_type = head.content_type;
    begun.headers = end_to_end_headers(head.headers);
    co_return co_await caller_.begin_stream(begun);
}

template <proxy_dialect Dialect>
core::task<bool> request_flow<Dialect>::send_events(const http::response& head)
{
    const write_mark mark(writing_);
    if (!answer_begun_ && !co_await begin_answer(head)) {
        co_return false;
    }
    if (events_.unsent().empty()) {
        co_return true;
    }
    const core::result<void> written = co_await caller_.write_chunk(events_.unsent());
    events_.on_sent();
    co_return written.has_value();
}

template <proxy_dialect Dialect>
bool request_flow<Dialect>::silent_too_long(core::time_point now) const
{
    const core::duration silence = now - last_heard_;
    const bool may_move =
        routes::may_repeat(routed_.route->repeat) && attempts_ < routed_.route->max_attempts;
    if (!may_move || writing_) {
        return false;
    }
    if (!stream()) {
        const core::duration patience = std::chrono::duration_cast<core::duration>(
            routed_.request.patience * repeat_after_share);
        return silence > std::max<core::duration>(patience, least_repeat_after);
    }
    if (silence > longest_stream_silence) {
        return true;
    }
    const bool others_go_on = now - service_.last_progress < service_progress_age;
    const core::duration lone = answer_begun_ ? lone_stream_silence : lone_first_event_silence;
    return others_go_on && silence > lone;
}

template <proxy_dialect Dialect>
core::task<std::string_view> request_flow<Dialect>::watch_silence()
{
    while (true) {
        const core::time_point now = core::runtime_clock::now();
        if (now >= deadline_) {
            co_return "out_of_time";
        }
        if (silent_too_long(now)) {
            co_return "silent";
        }
        core::timer pause(context_.executor);
        co_await pause.wait_until(std::min(deadline_, now + watchdog_interval));
    }
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
            const core::result<void> written = co_await caller_.end_stream();
            log_end(written ? "answered" : "caller_left", end.why);
            co_return;
        }
        end.answer->headers = end_to_end_headers(end.answer->headers);
        first_byte_ = core::runtime_clock::now() - routed_.arrived;
        co_await caller_.reply(std::move(*end.answer));
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
    // Without its last chunk the answer cannot be taken for whole.
    caller_.close();
    log_end(caller_lost_ ? "caller_left" : "cut", end.why);
}

template <proxy_dialect Dialect>
core::task<void> request_flow<Dialect>::refuse(unsigned status, std::string_view reason)
{
    refusal r{status, reason, std::nullopt};
    if (status == 503) {
        r.retry_after = service_.queue.decisions().retry_after();
    }
    http::response answer = Dialect::write_refusal(routed_.request, r);
    co_await caller_.reply(std::move(answer));
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
        .field("events", events_.count())
        .field("next", to_string(step));
}

template <proxy_dialect Dialect>
void request_flow<Dialect>::log_end(std::string_view outcome, std::string_view reason) const
{
    const core::duration took = core::runtime_clock::now() - routed_.arrived;
    core::counter_for("requests_total", "outcome=\"" + std::string(outcome) + "\"").add();
    core::histogram_for("request_duration_ms").add(took);
    if (first_byte_) {
        core::histogram_for("first_byte_ms").add(*first_byte_);
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
        .field("first_byte_ms", first_byte_ ? core::to_milliseconds(*first_byte_) : -1)
        .field("events", events_.count())
        .field("limit", service_.pace.limit())
        .field("gap_ms", core::to_milliseconds(service_.pace.mean_gap()))
        .field("took_ms", core::to_milliseconds(took));
}

} // namespace currantpitch::proxy
