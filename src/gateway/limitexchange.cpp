#include "gateway/limitexchange.h"

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

limit_exchange::limit_exchange(core::host_id self, proxy::proxy_context& context,
                               membership::peer_hub& hub)
    : context_(context), hub_(hub), broker_(std::move(self))
{
    context_.publish_limit = [this](const backpressure::reported_limit& limit) {
        hub_.send_to_all(wire::encode(backpressure::limit_report{{limit}}));
    };
    context_.signals.ask_for_permit = [this](const core::endpoint_id& endpoint, double per_second,
                                             std::chrono::milliseconds max_wait) {
        ask_for_permit(endpoint, per_second, max_wait);
    };
}

void limit_exchange::set_registered(const std::set<core::host_id>& hosts)
{
    broker_.set_registered(hosts, core::runtime_clock::now());
}

void limit_exchange::on_peer_up(const core::host_id& peer)
{
    broker_.on_peer_up(peer, core::runtime_clock::now());
    const backpressure::limit_report known = context_.signals.snapshot(core::runtime_clock::now());
    if (!known.limits.empty()) {
        hub_.send(peer, wire::encode(known));
    }
}

void limit_exchange::on_peer_down(const core::host_id& peer)
{
    broker_.on_peer_down(peer, core::runtime_clock::now());
}

bool limit_exchange::on_message(const core::host_id& peer, std::uint8_t type,
                                const std::string& payload)
{
    switch (type) {
    case backpressure::limit_report_type:
        decode_and_handle<backpressure::limit_report>(
            payload, [&](const backpressure::limit_report& m) { on_report(peer, m); });
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

void limit_exchange::ask_for_permit(const core::endpoint_id& endpoint, double per_second,
                                    std::chrono::milliseconds max_wait)
{
    const backpressure::permit_source source =
        broker_.request(endpoint, per_second, max_wait, core::runtime_clock::now());
    core::counter_for("permits_requested_total", source.owner ? "owner=\"peer\"" : "owner=\"self\"")
        .add();
    if (source.owner) {
        hub_.send(*source.owner,
                  wire::encode(backpressure::permit_request{endpoint, per_second, max_wait}));
    }
    if (source.own_offer) {
        on_offer(*source.own_offer);
    }
}

void limit_exchange::on_report(const core::host_id& peer, const backpressure::limit_report& report)
{
    const core::time_point now = core::runtime_clock::now();
    for (const backpressure::reported_limit& limit : report.limits) {
        const bool readable = !limit.per_second || std::isfinite(*limit.per_second);
        const bool changed =
            readable &&
            context_.signals.on_answer(
                {limit.endpoint, limit.incarnation, limit.per_second, now - limit.asked_ago}, now);
        if (changed) {
            core::log_event("endpoint_limit")
                .field("endpoint", limit.endpoint)
                .field("incarnation", limit.incarnation)
                .field("per_second", context_.signals.request_limit(limit.endpoint).value_or(0))
                .field("peer", peer);
        }
    }
}

void limit_exchange::on_request(const core::host_id& peer,
                                const backpressure::permit_request& request)
{
    if (!std::isfinite(request.per_second)) {
        core::counter_for("peer_messages_malformed_total").add();
        return;
    }
    const double per_second =
        std::clamp(context_.signals.request_limit(request.endpoint).value_or(request.per_second),
                   backpressure::min_request_limit, backpressure::max_request_limit);
    const backpressure::permit_offer offer =
        broker_.grant(request.endpoint, per_second, request.max_wait, core::runtime_clock::now());
    core::counter_for("permits_offered_total", offer.granted ? "granted=\"1\"" : "granted=\"0\"")
        .add();
    hub_.send(peer, wire::encode(offer));
}

void limit_exchange::on_offer(const backpressure::permit_offer& offer)
{
    const core::time_point now = core::runtime_clock::now();
    if (!context_.signals.on_offer(offer, now)) {
        return;
    }
    // A refusal ends the requests that can no longer start in time.
    core::spawn(context_.executor,
                process_waiting_at(offer.endpoint, offer.granted ? now + offer.starts_in : now));
}

core::task<void> limit_exchange::process_waiting_at(core::endpoint_id endpoint,
                                                    core::time_point start)
{
    co_await core::sleep_for(start - core::runtime_clock::now());
    const directory::endpoint_record* const record = context_.endpoints.find(endpoint);
    if (record != nullptr) {
        context_.service(record->service).queue.on_permit_change();
    }
}

} // namespace currantpitch::gateway
