#include "gateway/partreportexchange.h"

#include "core/counters.h"
#include "wire/packer.h"
#include "wire/unpacker.h"

namespace currantpitch::gateway {

part_report_exchange::part_report_exchange(proxy::proxy_context& context, membership::peer_hub& hub)
    : context_(context), hub_(hub)
{
    context_.publish_part_report = [this](const admission::part_report& report) {
        hub_.send_to_all(wire::encode(report));
    };
}

void part_report_exchange::on_peer_up(const core::host_id& peer)
{
    for (const std::pair<const core::service_id, std::unique_ptr<proxy::service_state>>& entry :
         context_.services) {
        const std::optional<admission::part_report> known = entry.second->guard.snapshot();
        if (known) {
            hub_.send(peer, wire::encode(*known));
        }
    }
}

void part_report_exchange::on_report(const core::host_id& peer, const std::string& payload)
{
    const core::result<admission::part_report> report =
        wire::decode<admission::part_report>(payload);
    if (!report) {
        core::counter_for("peer_messages_malformed_total").add();
        return;
    }
    const std::optional<admission::part_report> answer =
        context_.service(report.value().service).guard.on_report(report.value());
    if (answer && answer->is_reply) {
        hub_.send(peer, wire::encode(*answer));
    }
    else if (answer) {
        hub_.send_to_all(wire::encode(*answer));
    }
}

} // namespace currantpitch::gateway
