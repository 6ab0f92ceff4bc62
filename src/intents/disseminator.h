#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"
#include "intents/replica.h"
#include "intents/syncmessages.h"
#include "objectstore/storeclient.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace currantpitch::intents {

/// A message for a peer.
struct sync_outgoing {
    core::host_id peer;
    std::variant<sync_status, sync_changes> message;
};

/// Keeps the configuration of one process up to date from the platform and from peers, and passes
/// it on. Decides only: the caller moves the messages, reads the platform and tells the time.
class disseminator {
public:
    /// A listing of the platform's store.
    std::vector<sync_outgoing> on_listing(const objectstore::listing& l, core::time_point now);
    /// An event of the platform's watch that was opened at complete().
    std::vector<sync_outgoing> on_watch_event(const objectstore::watch_event& e,
                                              core::time_point now);

    std::vector<sync_outgoing> on_peer_up(const core::host_id& peer);
    void on_peer_down(const core::host_id& peer);
    std::vector<sync_outgoing> on_status(const core::host_id& peer, const sync_status& status,
                                         core::time_point now);
    std::vector<sync_outgoing> on_changes(const core::host_id& peer, const sync_changes& changes,
                                          core::time_point now);
    /// Regular statuses for all peers.
    std::vector<sync_outgoing> statuses() const;

    /// Whether the configuration is as new as every peer reports, and there is one at all.
    bool ready() const;
    /// Whether a listing or a peer has supplied the configuration.
    bool has_content() const { return has_content_; }
    /// A peer holds other content at the same revision: the platform must be listed again.
    bool wants_listing() const { return wants_listing_; }
    core::revision complete() const { return replica_.complete(); }
    const replica& held() const { return replica_; }
    /// Objects applied since the last call.
    std::vector<objectstore::object> take_applied();

private:
    struct peer_state {
        core::revision complete;
        core::revision newest;
        std::uint64_t content_hash = 0;
        /// What was sent last, and when; repeated when the peer has not got it after a while.
        core::revision sent_to;
        core::time_point sent_at;
        bool known = false;
    };

    sync_status own_status() const;
    std::vector<sync_outgoing> push(core::time_point now);
    std::optional<sync_outgoing> changes_for(const core::host_id& peer, peer_state& state,
                                             core::time_point now);
    void compare(const peer_state& state);

    replica replica_;
    std::map<core::host_id, peer_state> peers_;
    std::vector<objectstore::object> applied_;
    bool has_content_ = false;
    bool wants_listing_ = false;
};

} // namespace currantpitch::intents
