#pragma once

#include "core/counters.h"
#include "http/clientconnection.h"
#include "proxy/attemptrules.h"
#include "proxy/calleranswer.h"
#include "proxy/proxyconstants.h"
#include "proxy/proxycontext.h"
#include "proxy/routedrequest.h"

namespace currantpitch::proxy {

/// How an attempt ended.
struct attempt_end {
    attempt_result result = attempt_result::not_run;
    /// What the endpoint answered, for results answered and failed of whole answers.
    std::optional<http::response> answer;
    std::string_view why;
    dispatch::work_end work = dispatch::work_end::broken;
};

/// One attempt at an endpoint: the connection, the request, and the endpoint's answer, which for a
/// stream goes to the caller event by event. Ends when the endpoint is silent for too long.
template <proxy_dialect Dialect>
class endpoint_attempt {
public:
    /// The last attempt is not given up for another one.
    endpoint_attempt(proxy_context& context, service_state& service, const routed_request& routed,
                     caller_answer& answer, core::time_point deadline, bool last)
        : context_(context), service_(service), routed_(routed), answer_(answer),
          deadline_(deadline), last_(last), last_heard_(core::runtime_clock::now())
    {
    }

    core::task<attempt_end> run(const dispatch::work_queue::slot& slot);

private:
    bool stream() const { return routes::is_stream(routed_.route->repeat); }
    core::task<core::result<http::client_connection>>
    connect(const directory::endpoint_record& record);
    core::task<attempt_end> exchange(http::client_connection& connection,
                                     const directory::endpoint_record& record);
    core::task<attempt_end> read_answer(http::client_connection& connection,
                                        const directory::endpoint_record& record);
    core::task<attempt_end> relay_stream(http::client_connection& connection, http::response head);
    core::task<std::string_view> watch_silence();
    bool silent_too_long(core::time_point now) const;

    proxy_context& context_;
    service_state& service_;
    const routed_request& routed_;
    caller_answer& answer_;
    core::time_point deadline_;
    bool last_;
    core::time_point last_heard_;
};

template <proxy_dialect Dialect>
core::task<attempt_end> endpoint_attempt<Dialect>::run(const dispatch::work_queue::slot& slot)
{
    using namespace core::asio::experimental::awaitable_operators;
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
endpoint_attempt<Dialect>::connect(const directory::endpoint_record& record)
{
    const std::chrono::milliseconds most_idle =
        routes::may_retry(routed_.route->repeat) ? default_idle_time : fresh_connection_age;
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
core::task<attempt_end>
endpoint_attempt<Dialect>::exchange(http::client_connection& connection,
                                    const directory::endpoint_record& record)
{
    endpoint_call call;
    call.endpoint = record.endpoint;
    if (routed_.workspace != nullptr) {
        call.workspace = routed_.workspace->name;
    }
    call.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline_ - core::runtime_clock::now());
    call.last_event = answer_.events().last();
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
core::task<attempt_end>
endpoint_attempt<Dialect>::read_answer(http::client_connection& connection,
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
        const answer_metadata facts = Dialect::read_answer(head.value());
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
core::task<attempt_end> endpoint_attempt<Dialect>::relay_stream(http::client_connection& connection,
                                                                http::response head)
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
        const core::result<void> taken = answer_.events().take(piece.value());
        if (!taken) {
            end.why = "stream_gap";
            co_return end;
        }
        if (answer_.events().unsent().empty()) {
            continue;
        }
        const core::time_point now = core::runtime_clock::now();
        last_heard_ = now;
        service_.last_progress = now;
        if (last_event != core::time_point{}) {
            service_.pace.observe(now - last_event, routed_.route->target_gap, now);
        }
        last_event = now;
        if (!co_await answer_.send_events(head)) {
            end.why = "caller_left";
            end.work = dispatch::work_end::abandoned;
            co_return end;
        }
    }
    if (!answer_.events().at_boundary()) {
        end.why = "stream_cut";
        co_return end;
    }
    // Events that were taken before and not sent yet.
    co_await answer_.send_events(head);
    end.result = attempt_result::answered;
    end.why = "answered";
    end.work = dispatch::work_end::done;
    co_return end;
}

template <proxy_dialect Dialect>
bool endpoint_attempt<Dialect>::silent_too_long(core::time_point now) const
{
    const core::duration silence = now - last_heard_;
    const bool may_move = routes::may_retry(routed_.route->repeat) && !last_;
    if (!may_move || answer_.writing()) {
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
    const core::duration lone = answer_.begun() ? lone_stream_silence : lone_first_event_silence;
    return others_go_on && silence > lone;
}

template <proxy_dialect Dialect>
core::task<std::string_view> endpoint_attempt<Dialect>::watch_silence()
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

} // namespace currantpitch::proxy
