#pragma once

#include "core/counters.h"
#include "http/clientconnection.h"
#include "proxy/attemptrules.h"
#include "proxy/calleranswer.h"
#include "proxy/proxyconstants.h"
#include "proxy/proxycontext.h"
#include "proxy/requestsuspicion.h"

#include <functional>

namespace currantpitch::proxy {

/// Outcome of an attempt.
struct attempt_outcome {
    attempt_result result = attempt_result::not_run;
    /// The endpoint's answer for the results answered and failed; empty for a stream.
    std::optional<http::response> answer;
    /// Memory of the answer.
    std::optional<core::memory_budget::share> answer_share;
    std::string_view reason;
    dispatch::work_outcome work = dispatch::work_outcome::broken;
    /// The endpoint has sent the head of its answer, and the first event or the complete body.
    bool head_received = false;
    bool progressed = false;
    /// The connection ended before the answer was complete.
    bool connection_lost = false;
    /// Nothing was sent, because the request needs a new permit.
    bool permit_lost = false;
};

/// The attempt that would follow the running one.
struct next_attempt {
    /// Whether the endpoints, the route and the retry allowance permit it now.
    std::function<bool()> possible;
    /// Waits for its slot. Returns false if none becomes free in time.
    std::function<core::task<bool>()> acquire_slot;
    /// Gives the slot back, as the running attempt goes on.
    std::function<void()> release_slot;
};

/// One attempt at an endpoint. Connects, sends the request and reads the endpoint's answer; a
/// stream is relayed to the caller event by event. Ends when an idle timeout or the deadline
/// expires.
template <proxy_dialect Dialect>
class endpoint_attempt {
public:
    /// A silent endpoint is given up only for a next attempt that has its slot: a slow answer is
    /// better than none.
    endpoint_attempt(proxy_context& context, service_state& service, const routed_request& routed,
                     request_suspicion& suspicion, caller_answer& answer, core::time_point deadline,
                     next_attempt next)
        : context_(context), service_(service), routed_(routed), suspicion_(suspicion),
          answer_(answer), deadline_(deadline), next_(std::move(next)),
          last_activity_(core::runtime_clock::now())
    {
    }

    core::task<attempt_outcome> run(dispatch::work_queue::slot& slot);

private:
    bool stream() const { return routes::is_stream(routed_.route->retry); }
    core::task<core::result<http::client_connection>>
    connect(const directory::endpoint_record& record);
    /// Outcome of an attempt whose endpoint must not be sent the request any more.
    static attempt_outcome endpoint_gone();
    core::task<attempt_outcome> exchange(http::client_connection& connection,
                                         const directory::endpoint_record& record);
    core::task<attempt_outcome> read_answer(http::client_connection& connection,
                                            const directory::endpoint_record& record);
    /// Reads the rest of the body. errc::too_large when it exceeds max_answer_bytes or the share
    /// cannot grow, otherwise as client_connection::read_some.
    static core::task<core::result<std::string>> read_body(http::client_connection& connection,
                                                           core::memory_budget::share& share);
    /// Records what the endpoint's answer to this request says of the endpoint.
    void record_signal(const answer_metadata& metadata, const directory::endpoint_record& record);
    core::task<attempt_outcome> relay_stream(http::client_connection& connection,
                                             http::response head);
    /// Records the attempt as evidence against the request if the endpoint has crashed, which it
    /// shows by refusing connections. An endpoint that lost an answer accepts them, and one that is
    /// cut off does not answer.
    core::task<void> record_crash(const directory::endpoint_record& record);
    /// Records that the endpoint sent an event or its whole answer.
    void on_progress();
    core::task<std::string_view> watch_timeouts(const http::client_connection& connection);
    /// Whether the endpoint has been silent for longer than the idle timeout and another attempt
    /// may follow. It is not silent when this process is late in reading its answer.
    bool is_silent(const http::client_connection& connection) const;
    core::duration idle_timeout(core::time_point now) const;
    /// A planned stop that begins meanwhile may end the attempt before the request's deadline.
    core::time_point deadline() const { return context_.end_of(deadline_); }

    /// Counts a stream as running while its attempt lasts.
    class stream_count {
    public:
        stream_count(service_state& service, bool is_stream)
            : service_(service), streams_(is_stream ? 1 : 0)
        {
            service_.running_streams += streams_;
        }
        stream_count(const stream_count&) = delete;
        stream_count& operator=(const stream_count&) = delete;
        ~stream_count() { service_.running_streams -= streams_; }

    private:
        service_state& service_;
        std::size_t streams_;
    };

    proxy_context& context_;
    service_state& service_;
    const routed_request& routed_;
    request_suspicion& suspicion_;
    caller_answer& answer_;
    core::time_point deadline_;
    next_attempt next_;
    core::time_point last_activity_;
    core::time_point sent_at_;
    dispatch::work_queue::slot* slot_ = nullptr;
    bool head_received_ = false;
    bool progressed_ = false;
};

template <proxy_dialect Dialect>
core::task<attempt_outcome> endpoint_attempt<Dialect>::run(dispatch::work_queue::slot& slot)
{
    using namespace core::asio::experimental::awaitable_operators;
    slot_ = &slot;
    attempt_outcome outcome;
    const directory::endpoint_record* const found = context_.endpoints.find(slot.endpoint());
    if (found == nullptr || !context_.endpoints.usable(slot.endpoint())) {
        co_return endpoint_gone();
    }
    const directory::endpoint_record record = *found;
    core::result<http::client_connection> connection = co_await connect(record);
    if (!connection) {
        context_.on_connection_lost(record);
        outcome.reason = "connect_failed";
        co_return outcome;
    }
    if (!context_.endpoints.usable(slot.endpoint())) {
        co_return endpoint_gone();
    }
    if (context_.signals.declines(slot.endpoint(), core::runtime_clock::now())) {
        outcome.reason = "endpoint_declines";
        outcome.work = dispatch::work_outcome::abandoned;
        co_return outcome;
    }
    if (!context_.signals.may_send(slot.endpoint(), slot.started_at(),
                                   core::runtime_clock::now())) {
        core::counter_for("permits_expired_total").add();
        outcome.reason = "permit_expired";
        outcome.work = dispatch::work_outcome::abandoned;
        outcome.permit_lost = true;
        co_return outcome;
    }
    if (deadline() - core::runtime_clock::now() < min_time_left) {
        outcome.reason = "out_of_time";
        outcome.work = dispatch::work_outcome::abandoned;
        co_return outcome;
    }
    outcome.reason = suspicion_.admit();
    if (!outcome.reason.empty()) {
        outcome.work = dispatch::work_outcome::abandoned;
        co_return outcome;
    }
    const stream_count counted(service_, stream());
    std::variant<attempt_outcome, std::string_view> first =
        co_await (exchange(connection.value(), record) || watch_timeouts(connection.value()));
    if (first.index() == 1) {
        outcome.result = attempt_result::unknown;
        outcome.reason = std::get<1>(first);
    }
    else {
        outcome = std::get<0>(std::move(first));
    }
    if (outcome.connection_lost) {
        context_.on_connection_lost(record);
    }
    outcome.head_received = head_received_;
    outcome.progressed = progressed_;
    if (outcome.result == attempt_result::not_run) {
        suspicion_.on_not_run();
    }
    else if (outcome.result == attempt_result::answered) {
        suspicion_.on_answered();
    }
    else if (outcome.connection_lost) {
        co_await record_crash(record);
    }
    co_return outcome;
}

template <proxy_dialect Dialect>
attempt_outcome endpoint_attempt<Dialect>::endpoint_gone()
{
    attempt_outcome outcome;
    outcome.reason = "endpoint_gone";
    // Tells nothing about the endpoint, which may be usable again before long.
    outcome.work = dispatch::work_outcome::abandoned;
    return outcome;
}

template <proxy_dialect Dialect>
core::task<void> endpoint_attempt<Dialect>::record_crash(const directory::endpoint_record& record)
{
    const core::time_point failed_at = core::runtime_clock::now();
    if (failed_at >= deadline() || !context_.endpoints.usable(record.endpoint)) {
        co_return;
    }
    http::client_connection check(context_.executor);
    const core::result<void> connected =
        co_await check.connect(record.address, failed_at + crash_check_timeout);
    if (!connected && connected.error().code != core::errc::timeout) {
        suspicion_.on_crash(record, head_received_, progressed_, failed_at);
    }
}

template <proxy_dialect Dialect>
core::task<core::result<http::client_connection>>
endpoint_attempt<Dialect>::connect(const directory::endpoint_record& record)
{
    const std::chrono::milliseconds max_idle_time = routes::may_retry(routed_.route->retry)
                                                        ? default_keep_alive_timeout
                                                        : at_most_once_max_idle_time;
    std::optional<http::client_connection> pooled =
        context_.connections.acquire(record.endpoint, max_idle_time);
    if (pooled) {
        co_return std::move(*pooled);
    }
    http::client_connection new_connection(context_.executor);
    const core::time_point connect_deadline =
        std::min(core::runtime_clock::now() + connect_timeout, deadline());
    const core::result<void> connected =
        co_await new_connection.connect(record.address, connect_deadline);
    if (!connected) {
        co_return connected.error();
    }
    core::counter_for("endpoint_connections_total").add();
    co_return std::move(new_connection);
}

template <proxy_dialect Dialect>
core::task<attempt_outcome>
endpoint_attempt<Dialect>::exchange(http::client_connection& connection,
                                    const directory::endpoint_record& record)
{
    // The task of the exchange may begin later than the check in run.
    if (!context_.endpoints.usable(record.endpoint)) {
        co_return endpoint_gone();
    }
    endpoint_call call;
    call.endpoint = record.endpoint;
    if (routed_.workspace != nullptr) {
        call.workspace = routed_.workspace->name;
    }
    call.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline() - core::runtime_clock::now());
    call.last_event_id = answer_.events().last_id();
    const routes::service_profile* const profile = routed_.table->find_service(routed_.service);
    if (profile != nullptr && profile->engine &&
        routed_.table->priorities_differ(routed_.service)) {
        call.priority = routed_.engine_priority();
    }
    sent_at_ = core::runtime_clock::now();
    http::request message = Dialect::make_endpoint_request(routed_.request, call);
    const core::result<void> sent = co_await connection.send(
        std::move(message), routed_.request.message.body, core::time_point::max());
    if (!sent) {
        attempt_outcome outcome;
        outcome.result = attempt_result::unknown;
        outcome.reason = "send_failed";
        outcome.connection_lost = true;
        co_return outcome;
    }
    co_return co_await read_answer(connection, record);
}

template <proxy_dialect Dialect>
core::task<attempt_outcome>
endpoint_attempt<Dialect>::read_answer(http::client_connection& connection,
                                       const directory::endpoint_record& record)
{
    attempt_outcome outcome;
    outcome.result = attempt_result::unknown;
    for (int skipped = 0; skipped <= max_mismatched_answers; ++skipped) {
        core::result<http::response> head = co_await connection.read_head(core::time_point::max());
        if (!head) {
            const bool invalid = head.error().code == core::errc::malformed;
            outcome.reason = invalid ? "invalid_status" : "no_answer";
            outcome.connection_lost = !invalid;
            co_return outcome;
        }
        last_activity_ = core::runtime_clock::now();
        const answer_metadata metadata = Dialect::read_answer(head.value());
        const bool is_stream_answer = stream() && metadata.genuine && !metadata.id.empty() &&
                                      head.value().status == 200 && !metadata.not_run;
        const bool mismatched = !metadata.id.empty() && metadata.id != routed_.request.id;
        if (!mismatched && !metadata.id.empty()) {
            record_signal(metadata, record);
        }
        if (is_stream_answer && !mismatched) {
            head_received_ = true;
            outcome = co_await relay_stream(connection, std::move(head.value()));
        }
        else {
            core::memory_budget::share share(context_.answers);
            core::result<std::string> body = co_await read_body(connection, share);
            if (!body) {
                const bool too_large = body.error().code == core::errc::too_large;
                outcome.reason = too_large ? "answer_too_large" : "answer_cut";
                outcome.connection_lost = !too_large;
                co_return outcome;
            }
            if (mismatched) {
                core::counter_for("foreign_answers_total").add();
                continue;
            }
            if (metadata.id.empty()) {
                // It may belong to an earlier request on this connection.
                outcome.reason = "answer_without_id";
                co_return outcome;
            }
            if (metadata.not_run) {
                outcome.result = attempt_result::not_run;
                outcome.reason = "endpoint_refused";
                outcome.work = dispatch::work_outcome::refused;
                // An endpoint that limits its requests or leaves, or that the request was not meant
                // for, says nothing about the others.
                const bool own_reason = metadata.quiet_time || metadata.request_limit ||
                                        metadata.leaving || head.value().status == 421;
                if (stream() && !own_reason) {
                    service_.outage.on_refused(record.endpoint, last_activity_);
                }
            }
            else if (!metadata.genuine) {
                outcome.reason = "answer_not_genuine";
                co_return outcome;
            }
            else if (answer_.begun()) {
                // The caller has part of a stream, which this answer does not continue.
                outcome.reason = "stream_not_continued";
                outcome.work = dispatch::work_outcome::failed;
                co_return outcome;
            }
            else {
                const bool failed = head.value().status >= 500;
                outcome.result = failed ? attempt_result::failed : attempt_result::answered;
                outcome.reason = failed ? "endpoint_failed" : "answered";
                outcome.work =
                    failed ? dispatch::work_outcome::failed : dispatch::work_outcome::done;
                outcome.answer = std::move(head.value());
                outcome.answer->body = std::move(body.value());
                outcome.answer_share = std::move(share);
                head_received_ = true;
                on_progress();
                service_.on_progress(record.service, last_activity_);
            }
        }
        const bool reuse =
            connection.reusable() && (outcome.work != dispatch::work_outcome::broken);
        if (reuse) {
            const std::chrono::milliseconds pool_timeout =
                metadata.keep_alive_timeout
                    ? std::chrono::duration_cast<std::chrono::milliseconds>(
                          *metadata.keep_alive_timeout * keep_alive_timeout_fraction)
                    : default_keep_alive_timeout;
            context_.connections.release(record.endpoint, std::move(connection), pool_timeout);
        }
        co_return outcome;
    }
    outcome.reason = "foreign_answers";
    co_return outcome;
}

template <proxy_dialect Dialect>
core::task<core::result<std::string>>
endpoint_attempt<Dialect>::read_body(http::client_connection& connection,
                                     core::memory_budget::share& share)
{
    std::string body;
    while (true) {
        core::result<std::string> piece = co_await connection.read_some(core::time_point::max());
        if (!piece || piece.value().empty()) {
            co_return piece ? core::result<std::string>(std::move(body)) : piece;
        }
        body += piece.value();
        if (body.size() > max_answer_bytes || !share.grow(piece.value().size())) {
            core::counter_for("answers_too_large_total").add();
            co_return core::error{core::errc::too_large, "the answer is too large"};
        }
    }
}

template <proxy_dialect Dialect>
void endpoint_attempt<Dialect>::record_signal(const answer_metadata& metadata,
                                              const directory::endpoint_record& record)
{
    std::optional<double> limit = metadata.request_limit;
    if (metadata.request_limit_unreadable) {
        core::counter_for("endpoint_limits_unreadable_total").add();
        limit = context_.signals.request_limit(record.endpoint);
    }
    context_.on_endpoint_signal({record.endpoint, record.incarnation, limit, metadata.leaving,
                                 metadata.quiet_time, sent_at_},
                                routed_.request.id);
}

template <proxy_dialect Dialect>
core::task<attempt_outcome>
endpoint_attempt<Dialect>::relay_stream(http::client_connection& connection, http::response head)
{
    attempt_outcome outcome;
    outcome.result = attempt_result::unknown;
    core::time_point last_event_time{};
    while (true) {
        const core::result<std::string> chunk =
            co_await connection.read_some(core::time_point::max());
        if (!chunk) {
            outcome.reason = "stream_cut";
            outcome.connection_lost = true;
            co_return outcome;
        }
        if (chunk.value().empty()) {
            break;
        }
        const core::result<void> appended = answer_.events().append(chunk.value());
        if (!appended) {
            outcome.reason = "stream_gap";
            co_return outcome;
        }
        if (answer_.events().unsent().empty()) {
            continue;
        }
        const core::time_point now = core::runtime_clock::now();
        on_progress();
        last_activity_ = now;
        service_.last_progress = now;
        service_.on_progress(routed_.service, now);
        if (last_event_time != core::time_point{}) {
            service_.concurrency_controller.observe(now - last_event_time,
                                                    routed_.route->target_gap, now);
        }
        last_event_time = now;
        if (!co_await answer_.send_events(head)) {
            outcome.reason = "caller_left";
            outcome.work = dispatch::work_outcome::abandoned;
            co_return outcome;
        }
    }
    if (!answer_.events().at_boundary()) {
        outcome.reason = "stream_cut";
        outcome.connection_lost = true;
        co_return outcome;
    }
    // Sends events that remain unsent from an earlier attempt.
    co_await answer_.send_events(head);
    outcome.result = attempt_result::answered;
    outcome.reason = "answered";
    outcome.work = dispatch::work_outcome::done;
    co_return outcome;
}

template <proxy_dialect Dialect>
void endpoint_attempt<Dialect>::on_progress()
{
    if (!progressed_) {
        progressed_ = true;
        slot_->set_responded(core::runtime_clock::now());
        suspicion_.on_progress();
    }
}

} // namespace currantpitch::proxy

#include "proxy/attempttimeouts.h"
