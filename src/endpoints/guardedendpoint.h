#pragma once

#include "core/counters.h"
#include "core/eventlog.h"
#include "endpoints/endpointgate.h"
#include "endpoints/endpointsconstants.h"
#include "endpoints/httpengine.h"

namespace currantpitch::endpoints {

/// Requirements on the client of an endpoint.
template <class B>
concept endpoint_backend = requires(B& b, sessions::start_work work, sessions::token_sink& sink)
{
    {
        b.run(work, sink)
        } -> std::same_as<core::task<sessions::work_end>>;
    {
        b.status()
        } -> std::same_as<core::task<core::result<endpoint_status>>>;
};

/// The endpoint of this host behind its gate. All work for the endpoint passes through this class.
template <endpoint_backend Backend>
class guarded_endpoint {
public:
    guarded_endpoint(Backend& backend, endpoint_gate& gate) : backend_(backend), gate_(gate) {}

    core::task<sessions::work_end> run(sessions::start_work work, sessions::token_sink& sink);
    sessions::load_report load() const;

    /// Polls the endpoint's health and load until the process ends.
    core::task<void> poll();
    /// Called for each status that the endpoint reports.
    std::function<void(const endpoint_status&)> on_status;
    /// Highest known configuration version, sent in the load report.
    core::revision configuration;

private:
    Backend& backend_;
    endpoint_gate& gate_;
    endpoint_status last_status_;
    core::time_point last_status_time_;
};

template <endpoint_backend Backend>
core::task<sessions::work_end> guarded_endpoint<Backend>::run(sessions::start_work work,
                                                              sessions::token_sink& sink)
{
    const std::optional<std::string_view> reason = gate_.refusal(work);
    if (reason) {
        core::counter_for("work_refused_total", "reason=\"" + std::string(*reason) + "\"").add();
        sessions::work_end refusal;
        refusal.state = sessions::end_state::refused;
        refusal.detail = std::string(*reason);
        refusal.retry_after = busy_retry_after;
        co_return refusal;
    }
    // Counts the work as running until it ends, also if its task is cancelled.
    struct slot {
        endpoint_gate& gate;
        const sessions::start_work& work;
        slot(endpoint_gate& g, const sessions::start_work& w) : gate(g), work(w)
        {
            gate.started(work);
        }
        slot(const slot&) = delete;
        slot& operator=(const slot&) = delete;
        ~slot() { gate.ended(work); }
    };
    const slot counted(gate_, work);
    const core::incarnation previous_incarnation = last_status_.incarnation;
    sessions::work_end end = co_await backend_.run(work, sink);
    end.endpoint_incarnation = previous_incarnation;
    if (end.state == sessions::end_state::failed &&
        co_await has_failed_since(backend_, previous_incarnation)) {
        end.state = sessions::end_state::crashed;
        gate_.set_healthy(false);
        core::counter_for("endpoint_crashes_seen_total").add();
    }
    co_return end;
}

template <endpoint_backend Backend>
sessions::load_report guarded_endpoint<Backend>::load() const
{
    sessions::load_report report;
    report.running = gate_.running();
    report.concurrency = gate_.concurrency();
    report.age = std::chrono::duration_cast<std::chrono::milliseconds>(core::runtime_clock::now() -
                                                                       last_status_time_) +
                 last_status_.age;
    report.endpoint_incarnation = last_status_.incarnation;
    report.healthy = gate_.healthy();
    report.leaving = gate_.leaving();
    report.configuration = configuration;
    return report;
}

template <endpoint_backend Backend>
core::task<void> guarded_endpoint<Backend>::poll()
{
    while (true) {
        const core::result<endpoint_status> status = co_await backend_.status();
        if (status.has_value() != gate_.healthy()) {
            core::log_event("endpoint_health").field("healthy", status.has_value());
        }
        gate_.set_healthy(status.has_value());
        if (status) {
            last_status_ = status.value();
            last_status_time_ = core::runtime_clock::now();
            if (on_status) {
                on_status(last_status_);
            }
        }
        co_await core::sleep_for(poll_interval);
    }
}

} // namespace currantpitch::endpoints
