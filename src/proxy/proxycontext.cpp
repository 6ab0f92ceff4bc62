#include "proxy/proxycontext.h"

#include "core/counters.h"
#include "core/eventlog.h"
#include "proxy/proxyconstants.h"

namespace currantpitch::proxy {

void service_state::on_progress(const core::service_id& service, core::time_point now)
{
    const std::optional<core::duration> lasted = outage.on_progress(now);
    if (!lasted) {
        return;
    }
    if (std::exchange(outage_logged, false)) {
        core::log_event("outage_end")
            .field("service", service)
            .field("lasted_ms", core::to_milliseconds(*lasted))
            .field("waiting", outage.waiting());
    }
    outage_change.notify();
}

void service_state::on_outage(const core::service_id& service, core::time_point now)
{
    if (std::exchange(outage_logged, true)) {
        return;
    }
    core::counter_for("outages_total").add();
    core::log_event("outage", core::log_event::level::warning)
        .field("service", service)
        .field("expected_ms", core::to_milliseconds(outage.expected_end(now) - now));
}

service_state& proxy_context::service(const core::service_id& name)
{
    std::unique_ptr<service_state>& state = services[name];
    if (!state) {
        state = std::make_unique<service_state>(
            executor, dispatch::scheduler(own_domain, true, random()),
            admission::retry_window(bounds.retries, started_at), 0,
            part_guard(name, [this](const admission::part_report& r) { publish_part_report(r); }),
            random());
        state->retries.set_process_count(process_count);
        state->queue.slot_scheduler().set_process_count(process_count);
        state->queue.slot_scheduler().set_signals(signals);
        if (bounds.learn_capacity) {
            state->queue.slot_scheduler().learn_capacity(random());
        }
        apply_profile(name, *state);
    }
    return *state;
}

void proxy_context::apply_profile(const core::service_id& name, service_state& state)
{
    // Endpoints may be registered before the configuration with their profile arrives.
    const std::shared_ptr<const routes::route_table>& table = configuration.table();
    const routes::service_profile* const profile = table ? table->find_service(name) : nullptr;
    const bool engine = profile != nullptr && profile->engine.has_value();
    // Engines of a group advance together, so none of them is slower than the others.
    state.queue.slot_scheduler().set_weigh_by_latency(!engine);
    state.concurrency_controller.set_concurrency(engine ? profile->engine->concurrency
                                                        : unlimited_concurrency);
    state.queue.slot_scheduler().set_limit(state.concurrency_controller.limit());
    // Operators ask for reserves by routes of different priorities. Priorities of workspaces alone
    // only order the requests that wait.
    state.queue.slot_scheduler().set_reserve_enabled(table && table->priorities_differ(name));
    if (profile == nullptr || profile->cold_requests_per_second) {
        state.cold_requests_per_second =
            profile == nullptr ? 0 : *profile->cold_requests_per_second;
    }
}

void proxy_context::set_memory(std::optional<double> mib)
{
    constexpr double bytes_per_mib = 1024 * 1024;
    request_bodies.set_limit(
        mib ? static_cast<std::size_t>(*mib * bytes_per_mib * request_memory_fraction)
            : default_request_bytes);
}

void proxy_context::apply_endpoints()
{
    std::map<core::service_id, std::vector<dispatch::available_endpoint>> by_service;
    std::set<core::endpoint_id> registered;
    for (const std::pair<const core::service_id, std::unique_ptr<service_state>>& entry :
         services) {
        by_service[entry.first];
    }
    for (const std::pair<const core::endpoint_id, directory::endpoint_record>& entry :
         endpoints.all()) {
        const directory::endpoint_record& record = entry.second;
        registered.insert(record.endpoint);
        signals.on_registered(record.endpoint, record.incarnation);
        if (endpoints.usable(record.endpoint)) {
            by_service[record.service].push_back(
                {record.endpoint, record.failure_domain, record.concurrency, record.incarnation});
        }
    }
    signals.retain(registered, core::runtime_clock::now());
    for (const std::pair<const core::service_id, std::vector<dispatch::available_endpoint>>& e :
         by_service) {
        service_state& state = service(e.first);
        apply_profile(e.first, state);
        state.queue.slot_scheduler().set_endpoints(e.second);
    }
    cold_times.retain(endpoints.all());
    apply_cold_times();
    for (const std::pair<const core::service_id, std::unique_ptr<service_state>>& entry :
         services) {
        entry.second->queue.process_waiting();
    }
}

void proxy_context::apply_cold_times()
{
    if (!bounds.cold_start) {
        return;
    }
    const core::time_point now = core::runtime_clock::now();
    const std::shared_ptr<const routes::route_table>& table = configuration.table();
    cold_times.take_new(
        [&](const core::endpoint_id& endpoint, const directory::cold_times::cold_time& cold) {
            if (!table || table->find_service(cold.service) == nullptr) {
                return false;
            }
            const double rate = service(cold.service).cold_requests_per_second;
            const core::duration left = rate > 0 ? cold.until - now : core::duration::zero();
            const std::chrono::milliseconds cold_for =
                std::chrono::ceil<std::chrono::milliseconds>(left);
            if (cold.assumed && rate > 0) {
                signals.assume_cold(endpoint, cold.incarnation, rate, cold_for, now);
            }
            else if (signals.on_cold(endpoint, cold.incarnation, rate, cold_for, now)) {
                log_cold(endpoint, cold.incarnation, "store");
            }
            return true;
        });
}

void proxy_context::on_connection_lost(const directory::endpoint_record& record)
{
    const double rate = service(record.service).cold_requests_per_second;
    if (bounds.cold_start && rate > 0) {
        signals.assume_cold(record.endpoint, record.incarnation, rate, directory::renewal_time,
                            core::runtime_clock::now());
    }
}

void proxy_context::on_cold_report(const backpressure::reported_signal& report,
                                   const core::host_id& peer)
{
    if (bounds.cold_start &&
        signals.on_cold_report(report.endpoint, report.incarnation, report.cold_per_second,
                               report.cold_for, core::runtime_clock::now())) {
        log_cold(report.endpoint, report.incarnation, peer.str());
    }
}

void proxy_context::log_cold(const core::endpoint_id& endpoint, core::incarnation incarnation,
                             std::string_view source)
{
    const core::time_point now = core::runtime_clock::now();
    core::counter_for("cold_endpoints_total").add();
    core::log_event("endpoint_cold")
        .field("endpoint", endpoint)
        .field("incarnation", incarnation)
        .field("for_ms", signals.cold_for(endpoint, now).count())
        .field("per_second", signals.accepted_rate(endpoint, now).value_or(0))
        .field("source", source);
    on_cold(endpoint);
}

void proxy_context::on_endpoint_signal(const backpressure::endpoint_signal& signal,
                                       const std::string& request_id)
{
    const core::time_point now = core::runtime_clock::now();
    const backpressure::signal_change change = signals.on_answer(signal, now);
    log_signal_change(signal, change, "request", request_id);
    if (change.request_limit || change.leaving) {
        publish_signal(
            {signal.endpoint, signal.incarnation, signals.request_limit(signal.endpoint),
             signal.leaving,
             std::chrono::duration_cast<std::chrono::milliseconds>(now - signal.asked_at)});
    }
}

void proxy_context::log_signal_change(const backpressure::endpoint_signal& signal,
                                      const backpressure::signal_change& change,
                                      std::string_view source_kind, std::string_view source) const
{
    if (change.request_limit) {
        core::log_event("endpoint_limit")
            .field("endpoint", signal.endpoint)
            .field("incarnation", signal.incarnation)
            .field("per_second", signals.request_limit(signal.endpoint).value_or(0))
            .field(source_kind, source);
    }
    if (change.leaving) {
        core::log_event("endpoint_leaving")
            .field("endpoint", signal.endpoint)
            .field("incarnation", signal.incarnation)
            .field(source_kind, source);
    }
    if (change.quiet_time) {
        core::log_event("endpoint_quiet")
            .field("endpoint", signal.endpoint)
            .field("for_ms", signal.quiet_time->count())
            .field(source_kind, source);
    }
}

void proxy_context::set_process_count(std::size_t processes)
{
    process_count = processes;
    for (const std::pair<const core::service_id, std::unique_ptr<service_state>>& entry :
         services) {
        entry.second->retries.set_process_count(processes);
        entry.second->queue.slot_scheduler().set_process_count(processes);
    }
}

void update_priority_gauges(const core::service_id& service, service_state& state,
                            core::time_point now)
{
    dispatch::scheduler& s = state.queue.slot_scheduler();
    if (!s.reserve().active()) {
        return;
    }
    for (const std::pair<const int, overload::priority_load>& entry : s.reserve().own_load(now)) {
        const std::string label =
            "service=\"" + service.str() + "\",priority=\"" + std::to_string(entry.first) + "\"";
        core::gauge_for("priority_running", label).set(entry.second.running);
        core::gauge_for("priority_waiting", label).set(entry.second.waiting);
        core::gauge_for("priority_expected_slots", label).set(entry.second.expected);
        const std::optional<overload::priority_reserve::decision> decision =
            s.reserve_decision(entry.first, now);
        if (decision) {
            core::gauge_for("priority_room", label).set(decision->room ? 1 : 0);
            core::gauge_for("priority_reserved_slots", label).set(decision->reserved);
            core::gauge_for("priority_allowed_slots", label).set(decision->allowed);
        }
    }
    core::gauge_for("gateways_sharing_slots", "service=\"" + service.str() + "\"")
        .set(static_cast<double>(s.sharing_count(now)));
}

} // namespace currantpitch::proxy
