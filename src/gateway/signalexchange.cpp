#include "gateway/signalexchange.h"

#include "backpressure/backpressureconstants.h"
#include "core/counters.h"
#include "core/eventlog.h"
#include "core/timer.h"
#include "wire/packer.h"
#include "wire/unpacker.h"

#include <algorithm>
#include <cmath>

namespace currantpitch::gateway {

namespace {

template <class Message, class Handler>
void decode_and_handle(const std::string& payload, Handler handle)
{
    const core::result<Message> message = wire::decode<Message>(payload);
    if (message) {
        handle(message.value());
    }
    else {
        core::counter_for("peer_messages_malformed_total").add();
    }
}

} // namespace

signal_exchange::signal_exchange(core::host_id self, proxy::proxy_context& context,
                                 membership::peer_hub& hub)
    : context_(context), hub_(hub), broker_(std::move(self))
{
    context_.publish_signal = [this](const backpressure::reported_signal& signal) {
        hub_.send_to_all(wire::encode(backpressure::signal_report{{signal}}));
    };
    context_.signals.ask_for_permit = [this](const backpressure::permit_request& request) {
        ask_for_permit(request);
    };
    context_.signals.own_permit_at = [this](const core::endpoint_id& endpoint, double per_second,
                                            core::time_point now) {
        return broker_.own_permit_at(endpoint, per_second, now);
    };
    context_.on_cold = [this](const core::endpoint_id& endpoint) {
        publish_cold(endpoint);
    };
    apply_bounds();
}

void signal_exchange::apply_bounds()
{
    broker_.set_cold_bounds(context_.bounds.cold_start.value_or(backpressure::cold_bounds()));
}

void signal_exchange::publish_cold(const core::endpoint_id& endpoint)
{
    const std::optional<backpressure::reported_signal> report =
        context_.signals.report_of(endpoint, core::runtime_clock::now());
    if (report && broker_.owns(endpoint)) {
        context_.publish_signal(*report);
    }
}

void signal_exchange::set_registered(const std::set<core::host_id>& hosts)
{
    broker_.set_registered(hosts, core::runtime_clock::now());
}

void signal_exchange::on_peer_up(const core::host_id& peer)
{
    broker_.on_peer_up(peer, core::runtime_clock::now());
    const backpressure::signal_report known = context_.signals.snapshot(core::runtime_clock::now());
    if (!known.signals.empty()) {
        hub_.send(peer, wire::encode(known));
    }
}

void signal_exchange::on_peer_down(const core::host_id& peer)
{
    broker_.on_peer_down(peer, core::runtime_clock::now());
}

bool signal_exchange::on_message(const core::host_id& peer, std::uint8_t type,
                                 const std::string& payload)
{
    switch (type) {
    case backpressure::signal_report_type:
        decode_and_handle<backpressure::signal_report>(
            payload, [&](const backpressure::signal_report& m) { on_report(peer, m); });
        return true;
    case backpressure::permit_request_type:
        decode_and_handle<backpressure::permit_request>(
            payload, [&](const backpressure::permit_request& m) { on_request(peer, m); });
        return true;
    case backpressure::permit_offer_type:
        decode_and_handle<backpressure::permit_offer>(payload,
                                                      [&](const backpressure::permit_offer& m) {
                                                          broker_.on_answer(peer);
                                                          on_offer(m);
                                                      });
        return true;
    default:
        return false;
    }
}

void signal_exchange::ask_for_permit(const backpressure::permit_request& request)
{
    const backpressure::permit_source source = broker_.request(request, core::runtime_clock::now());
    core::counter_for("permits_requested_total", source.owner ? "owner=\"peer\"" : "owner=\"self\"")
        .add();
    if (source.owner) {
        hub_.send(*source.owner, wire::encode(request));
    }
    if (source.own_offer) {
        on_offer(*source.own_offer);
    }
}

void signal_exchange::on_report(const core::host_id& peer,
                                const backpressure::signal_report& report)
{
    const core::time_point now = core::runtime_clock::now();
    for (const backpressure::reported_signal& reported : report.signals) {
        if (reported.per_second && !std::isfinite(*reported.per_second)) {
            continue;
        }
        if (reported.cold_for.count() > 0 && std::isfinite(reported.cold_per_second)) {
            context_.on_cold_report(reported, peer);
        }
        if (!reported.per_second && !reported.leaving) {
            // Tells of no answer. It would otherwise end a limit.
            if (reported.cold_for.count() > 0) {
                continue;
            }
        }
        const backpressure::endpoint_signal signal{reported.endpoint,   reported.incarnation,
                                                   reported.per_second, reported.leaving,
                                                   std::nullopt,        now - reported.asked_ago};
        context_.log_signal_change(signal, context_.signals.on_answer(signal, now), "peer",
                                   peer.str());
    }
}

void signal_exchange::on_request(const core::host_id& peer, backpressure::permit_request request)
{
    if (!std::isfinite(request.per_second)) {
        core::counter_for("peer_messages_malformed_total").add();
        return;
    }
    const core::time_point now = core::runtime_clock::now();
    if (request.cold_for.count() > 0 && !request.cold_assumed) {
        backpressure::reported_signal report;
        report.endpoint = request.endpoint;
        report.incarnation = request.incarnation;
        report.cold_for = request.cold_for;
        report.cold_per_second = request.per_second;
        context_.on_cold_report(report, peer);
    }
    request.cold_for = std::max(request.cold_for, context_.signals.cold_for(request.endpoint, now));
    request.per_second = std::clamp(
        context_.signals.accepted_rate(request.endpoint, now).value_or(request.per_second),
        backpressure::min_request_limit, backpressure::max_request_limit);
    const backpressure::permit_offer offer = broker_.grant(request, now);
    core::counter_for("permits_offered_total", offer.granted ? "granted=\"1\"" : "granted=\"0\"")
        .add();
    hub_.send(peer, wire::encode(offer));
}

void signal_exchange::on_offer(const backpressure::permit_offer& offer)
{
    const core::time_point now = core::runtime_clock::now();
    if (!context_.signals.on_offer(offer, now)) {
        return;
    }
    // A refusal ends the requests that can no longer start in time.
    core::spawn(context_.executor,
                process_waiting_at(offer.endpoint, offer.granted ? now + offer.starts_in : now));
}

core::task<void> signal_exchange::process_waiting_at(core::endpoint_id endpoint,
                                                     core::time_point start)
{
    co_await core::sleep_for(start - core::runtime_clock::now());
    const directory::endpoint_record* const record = context_.endpoints.find(endpoint);
    if (record != nullptr) {
        context_.service(record->service).queue.on_permit_change();
    }
}

} // namespace currantpitch::gateway
