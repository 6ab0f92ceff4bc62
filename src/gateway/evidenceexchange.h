#pragma once

#include "membership/peerhub.h"
#include "proxy/proxycontext.h"

#include <string>

namespace currantpitch::gateway {

/// Exchanges reports on parts of prompts with the peers, so that a part that crashed an endpoint
/// through one entry is suspected at all of them.
class part_report_exchange {
public:
    part_report_exchange(proxy::proxy_context& context, membership::peer_hub& hub);

    /// Tells a peer that has just connected what is known.
    void on_peer_up(const core::host_id& peer);
    void on_report(const core::host_id& peer, const std::string& payload);

private:
    proxy::proxy_context& context_;
    membership::peer_hub& hub_;
};

} // namespace currantpitch::gateway
