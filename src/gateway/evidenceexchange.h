#pragma once

#include "membership/peerhub.h"
#include "proxy/proxycontext.h"

#include <string>

namespace currantpitch::gateway {

/// Exchanges with the peers the evidence against requests and parts of prompts that crash
/// endpoints, so that what was seen through one entry is suspected at all of them.
class evidence_exchange {
public:
    evidence_exchange(proxy::proxy_context& context, membership::peer_hub& hub);

    /// Tells a peer that has just connected what is known.
    void on_peer_up(const core::host_id& peer);
    /// Handles a report on parts or requests. Returns false for any other type.
    bool on_message(const core::host_id& peer, std::uint8_t type, const std::string& payload);

private:
    void on_part_report(const core::host_id& peer, const admission::part_report& report);

    proxy::proxy_context& context_;
    membership::peer_hub& hub_;
};

} // namespace currantpitch::gateway
