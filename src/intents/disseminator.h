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

/// Keeps the configuration of one process up to date from the platform and from peers, and forwards
/// it to peers. It does no I/O: the caller transports the messages, reads the platform and passes
/// the current time.
class disseminator {
public:
    /// Applies a listing of the platform's store.
    std::vector<sync_outgoing> on_listing(const objectstore::listing& l, core::time_point now);
    /// Applies an event of the platform's watch that was opened at complete().
    std::vector<sync_outgoing> on_watch_event(const objectstore::watch_event& e,
                                              core::time_point now);

    std::vector<sync_outgoing> on_peer_up(const core::host_id& peer);
    void on_peer_down(const core::host_id& peer);
    std::vector<sync_outgoing> on_status(const core::host_id& peer, const sync_status& status,
                                         core::time_point now);
    std::vector<sync_outgoing> on_changes(const core::host_id& peer, const sync_changes& changes,
                                          core::time_point now);
    /// The periodic status messages for all peers.
    std::vector<sync_outgoing> statuses() const;

    /// Whether a configuration has been received and is as new as every peer reports.
    bool ready() const;
    /// Whether a listing or a peer has supplied the configuration.
    bool has_content() const { return has_content_; }
    /// Whether the platform must be listed again, since a peer has different content at the same
    /// revision.
    bool needs_listing() const { return needs_listing_; }
    core::revision complete() const { return replica_.complete(); }
    const replica& local_replica() const { return replica_; }
    /// Removes and returns the objects applied since the last call.
    std::vector<objectstore::object> take_applied();

private:
    struct peer_state {
        core::revision complete;
        core::revision newest;
        std::uint64_t content_hash = 0;
        /// Revision of the changes sent last, and the time of sending. Changes that the peer has
        /// not confirmed within resend_interval are sent again.
        core::revision sent_revision;
        core::time_point sent_at;
        /// Whether the peer has sent a status or changes.
        bool status_known = false;
    };

    sync_status own_status() const;
    std::vector<sync_outgoing> push(core::time_point now);
    std::optional<sync_outgoing> changes_for(const core::host_id& peer, peer_state& state,
                                             core::time_point now);
    void detect_divergence(const peer_state& state);

    replica replica_;
    std::map<core::host_id, peer_state> peers_;
    std::vector<objectstore::object> applied_;
    bool has_content_ = false;
    bool needs_listing_ = false;
};

} // namespace currantpitch::intents
