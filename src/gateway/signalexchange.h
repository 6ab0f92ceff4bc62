#pragma once

#include "backpressure/permitbroker.h"
#include "membership/peerhub.h"
#include "proxy/proxycontext.h"

#include <set>
#include <string>

namespace currantpitch::gateway {

/// Shares among the entries what endpoints say of themselves. Tells the peers which limits
/// endpoints have named and which of them leave, and asks the owner of an endpoint's permits for
/// those that this entry needs.
class signal_exchange {
public:
    signal_exchange(core::host_id self, proxy::proxy_context& context, membership::peer_hub& hub);

    /// Replaces the set of registered entries.
    void set_registered(const std::set<core::host_id>& hosts);
    /// Tells a peer that has just connected what is known.
    void on_peer_up(const core::host_id& peer);
    void on_peer_down(const core::host_id& peer);
    /// Must be called at short intervals.
    void on_running() { broker_.on_running(core::runtime_clock::now()); }
    /// Takes over changed bounds on the requests to cold endpoints.
    void apply_bounds();
    /// Handles a message of the slice backpressure. Returns false for any other type.
    bool on_message(const core::host_id& peer, std::uint8_t type, const std::string& payload);

private:
    void ask_for_permit(const backpressure::permit_request& request);
    /// Tells all peers of a cold endpoint if this entry issues its permits. The others ask this
    /// entry or read the store.
    void publish_cold(const core::endpoint_id& endpoint);
    void on_report(const core::host_id& peer, const backpressure::signal_report& report);
    void on_request(const core::host_id& peer, backpressure::permit_request request);
    void on_offer(const backpressure::permit_offer& offer);
    /// Processes the requests that wait for a slot of the endpoint's service.
    core::task<void> process_waiting_at(core::endpoint_id endpoint, core::time_point start);

    proxy::proxy_context& context_;
    membership::peer_hub& hub_;
    backpressure::permit_broker broker_;
};

} // namespace currantpitch::gateway
