#pragma once

#include "core/counters.h"
#include "gateway/gatewaymessages.h"
#include "membership/peerhub.h"
#include "wire/packer.h"
#include "wire/unpacker.h"

#include <concepts>
#include <string>

namespace currantpitch::gateway {

/// Holds the configuration that this process has in force. apply_copy applies the one of a peer if
/// it is newer.
template <class H>
concept configuration_holder = requires(H& h, const std::string& text, const core::host_id& peer)
{
    {
        h.version()
        } -> std::same_as<routes::configuration_version>;
    {
        h.text()
        } -> std::convertible_to<std::string>;
    h.apply_copy(text, peer);
};

/// Passes the newest configuration on to peers that have an older one. A gateway that starts after
/// the store was restored from an older copy would serve that copy until the operator has written
/// the newer configuration again.
template <configuration_holder Holder>
class configuration_exchange {
public:
    configuration_exchange(Holder& holder, membership::peer_hub& hub) : holder_(holder), hub_(hub)
    {
    }

    /// Tells a peer which configuration this process has. A peer with a newer one replies with it.
    void on_peer_up(const core::host_id& peer) { hub_.send(peer, own_version()); }
    /// Tells all peers, since the store's listing may be from an older copy.
    void on_listing() { hub_.send_to_all(own_version()); }
    /// Handles a message of this slice. Returns false for any other type.
    bool on_message(const core::host_id& peer, std::uint8_t type, const std::string& payload)
    {
        if (type == configuration_notice_type) {
            const core::result<configuration_notice> notice =
                wire::decode<configuration_notice>(payload);
            if (!notice) {
                core::counter_for("peer_messages_malformed_total").add();
            }
            else if (holder_.version() > notice.value().version) {
                hub_.send(peer, wire::encode(configuration_copy{holder_.text()}));
            }
            return true;
        }
        if (type != configuration_copy_type) {
            return false;
        }
        const core::result<configuration_copy> copy = wire::decode<configuration_copy>(payload);
        if (copy) {
            holder_.apply_copy(copy.value().text, peer);
        }
        else {
            core::counter_for("peer_messages_malformed_total").add();
        }
        return true;
    }

private:
    std::string own_version() const
    {
        return wire::encode(configuration_notice{holder_.version()});
    }

    Holder& holder_;
    membership::peer_hub& hub_;
};

} // namespace currantpitch::gateway
