#include "gateway/evidenceexchange.h"

#include "core/counters.h"
#include "wire/packer.h"
#include "wire/unpacker.h"

namespace currantpitch::gateway {

evidence_exchange::evidence_exchange(proxy::proxy_context& context, membership::peer_hub& hub)
    : context_(context), hub_(hub)
{
    context_.publish_part_report = [this](const admission::part_report& report) {
        hub_.send_to_all(wire::encode(report));
    };
    context_.publish_suspicion_report = [this](const admission::suspicion_report& report) {
        hub_.send_to_all(wire::encode(report));
    };
}

void evidence_exchange::on_peer_up(const core::host_id& peer)
{
    for (const std::pair<const core::service_id, std::unique_ptr<proxy::service_state>>& entry :
         context_.services) {
        const std::optional<admission::part_report> known = entry.second->guard.snapshot();
        if (known) {
            hub_.send(peer, wire::encode(*known));
        }
    }
    const std::optional<admission::suspicion_report> known = context_.requests.snapshot();
    if (known) {
        hub_.send(peer, wire::encode(*known));
    }
}

bool evidence_exchange::on_message(const core::host_id& peer, std::uint8_t type,
                                   const std::string& payload)
{
    if (type == admission::part_report_type) {
        const core::result<admission::part_report> report =
            wire::decode<admission::part_report>(payload);
        if (report) {
            on_part_report(peer, report.value());
            return true;
        }
    }
    else if (type == admission::suspicion_report_type) {
        const core::result<admission::suspicion_report> report =
            wire::decode<admission::suspicion_report>(payload);
        if (report) {
            context_.requests.on_report(report.value());
            return true;
        }
    }
    else {
        return false;
    }
    core::counter_for("peer_messages_malformed_total").add();
    return true;
}

void evidence_exchange::on_part_report(const core::host_id& peer,
                                       const admission::part_report& report)
{
    const std::optional<admission::part_report> answer =
        context_.service(report.service).guard.on_report(report);
    if (answer && answer->is_reply) {
        hub_.send(peer, wire::encode(*answer));
    }
    else if (answer) {
        hub_.send_to_all(wire::encode(*answer));
    }
}

} // namespace currantpitch::gateway
